#!/usr/bin/env bash
# Runs simulated platform services, the entries and keepers of three VMs, and a mixed
# load on this machine. Exits non-zero when the load generator reports a violation.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/system.sh
echo "starting the stand-ins for the platform, three keepers and three entries, and adding three organisations (logs in $logs)"
start_system
echo "running the load: short requests only, then short and long ones"
bin/mw-load --config $config/load.yaml "$@"
