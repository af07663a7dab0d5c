#!/usr/bin/env bash
# Runs stand-ins, three VMs' worth of entries and keepers, and a mixed load on
# this machine. Exits non-zero when a promise was broken.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/system.sh
echo "starting stand-ins, three keepers and three entries, and adding three organisations (logs in $logs)"
start_system
echo "running the load: short requests alone, then with long ones"
bin/mw-load --config $config/load.yaml "$@"
