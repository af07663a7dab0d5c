#!/usr/bin/env bash
# Measures what the entries add to the time to first token: in one run, half of the
# requests go directly to the engines.
set -euo pipefail
cd "$(dirname "$0")/.."
config=examples/overhead
source scripts/system.sh
start_system
bin/mw-load --config $config/load.yaml "$@"
