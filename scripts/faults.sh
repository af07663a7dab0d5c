#!/usr/bin/env bash
# Runs the load of the demo and injects faults. Each argument is
# "SECONDS ACTION ...", with the time since the start of the load and one of the actions
#   kill NAME     send SIGKILL to a process (entry1, keeper2, ...)
#   term NAME     send SIGTERM to a process
#   pause NAME    send SIGSTOP to a process
#   wake NAME     send SIGCONT to a process
#   start NAME    start a process again
#   fault JSON    set the faults that the stand-ins for the platform simulate
# LOAD is the path of a file of load settings, instead of that of the demo.
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
