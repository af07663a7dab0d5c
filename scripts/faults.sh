#!/usr/bin/env bash
# Runs the load of the demo while things go wrong. Each argument is
# "SECONDS ACTION ...", the actions being
#   kill NAME     end a process at once (entry1, keeper2, ...)
#   term NAME     ask a process to stop
#   pause NAME    freeze a process, and wake NAME to let it go on
#   start NAME    start a process again
#   fault JSON    change what goes wrong at the stand-ins
# LOAD names another file of load settings.
set -euo pipefail
cd "$(dirname "$0")/.."
source scripts/system.sh
start_system

act() {
  case $1 in
    kill) kill -KILL "${pids[$2]}" ;;
    term) kill -TERM "${pids[$2]}" ;;
    pause) kill -STOP "${pids[$2]}" ;;
    wake) kill -CONT "${pids[$2]}" ;;
    start) start "$2" ;;
    fault) bin/mw-standin fault "${*:2}" ;;
    *) echo "unknown action $1" >&2; exit 2 ;;
  esac
}

bin/mw-load --config "${LOAD:-$config/load.yaml}" &
load=$!
pids[load]=$load
began=$(date +%s%N)
for event in "$@"; do
  read -r seconds action <<<"$event"
  now=$(($(date +%s%N) - began))
  wait_ns=$((seconds * 1000000000 - now))
  if [ "$wait_ns" -gt 0 ]; then sleep "$(printf '%d.%09d' $((wait_ns / 1000000000)) $((wait_ns % 1000000000)))"; fi
  echo "at $seconds s: $action"
  # shellcheck disable=SC2086
  act $action
done
status=0
wait $load || status=$?
unset 'pids[load]'
echo "logs in $logs"
exit $status
