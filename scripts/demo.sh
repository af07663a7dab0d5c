#!/usr/bin/env bash
# Runs stand-ins, three VMs' worth of entries and keepers, and a mixed load on
# this machine. Exits non-zero when a promise was broken.
set -euo pipefail
cd "$(dirname "$0")/.."
config=examples/demo
logs=$(mktemp -d)
pids=()

stop() {
  for pid in "${pids[@]}"; do kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do
    for _ in $(seq 50); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}
trap stop EXIT

start() {
  local name=$1
  shift
  "$@" 2>"$logs/$name.log" &
  pids+=($!)
}

await() {
  local what=$1 address=$2
  for _ in $(seq 100); do
    if bin/mastwinch --entry "http://$address" status >/dev/null 2>&1 &&
      bin/mastwinch --entry "http://$address" ready >/dev/null 2>&1; then return; fi
    sleep 0.1
  done
  echo "$what did not get ready; its log is in $logs" >&2
  exit 1
}

echo "starting stand-ins, three keepers and three entries (logs in $logs)"
start standin bin/mw-standin --config $config/standin.yaml
for i in 1 2 3; do
  start keeper$i bin/mw-keeper --config $config/keeper$i.yaml
  start entry$i bin/mw-entry --config $config/entry$i.yaml
done
for i in 1 2 3; do await "entry $i" 127.0.0.1:700$i; done

echo "adding three organisations"
for name in register lawyers accountants; do
  bin/mastwinch organisation put --weight 1 --max-concurrent 512 $name
done
sleep 0.5 # until all entries have read them

echo "running the load: short requests alone, then with long ones"
bin/mw-load --config $config/load.yaml "$@"
