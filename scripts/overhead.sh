#!/usr/bin/env bash
# Shows what the entries add to the first token: half of the callers go straight
# to the engines, in the same run.
set -euo pipefail
cd "$(dirname "$0")/.."
config=examples/overhead
source scripts/system.sh
start_system
bin/mw-load --config $config/load.yaml "$@"
