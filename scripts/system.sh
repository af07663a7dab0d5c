# Functions that run simulated platform services, and the entries and keepers of three
# VMs, on this machine. To be sourced. All processes are stopped on exit.
config=${config:-examples/demo}
logs=$(mktemp -d)
# bin is the directory of the programs; bin_of overrides it by process name.
bin=${bin:-bin}
declare -A pids bin_of
# POLICY overrides the routing policy of the settings.
if [ -n "${POLICY:-}" ]; then
  cp -r "$config" "$logs/config"
  config=$logs/config
  for i in 1 2 3; do printf 'routing:\n  policy: %s\n' "$POLICY" >>"$config/entry$i.yaml"; done
fi

stop_all() {
  for pid in "${pids[@]}"; do kill -CONT "$pid" 2>/dev/null || true; kill -TERM "$pid" 2>/dev/null || true; done
  for pid in "${pids[@]}"; do
    for _ in $(seq 50); do kill -0 "$pid" 2>/dev/null || break; sleep 0.1; done
    kill -KILL "$pid" 2>/dev/null || true
  done
  wait 2>/dev/null || true
}
trap stop_all EXIT

# start NAME starts an entry, a keeper or the stand-ins for the platform.
start() {
  local name=$1 program
  case $name in
    standin) program=mw-standin ;;
    keeper*) program=mw-keeper ;;
    entry*) program=mw-entry ;;
  esac
  "${bin_of[$name]:-$bin}/$program" --config "$config/$name.yaml" 2>>"$logs/$name.log" &
  pids[$name]=$!
}

# await_ready NAME ADDRESS waits until the entry at an address is ready. It checks every 100 ms
# and fails after 100 checks.
await_ready() {
  local name=$1 address=$2
  for _ in $(seq 100); do
    if "$bin/mastwinch" --entry "http://$address" ready >/dev/null 2>&1; then return; fi
    sleep 0.1
  done
  echo "$name did not become ready; its log is in $logs" >&2
  exit 1
}

start_system() {
  start standin
  for i in 1 2 3; do
    start keeper$i
    start entry$i
  done
  for i in 1 2 3; do await_ready entry$i 127.0.0.1:700$i; done
  for name in register lawyers accountants; do
    "$bin/mastwinch" organisation put --weight 1 --max-concurrent 512 $name
  done
  sleep 0.5 # until all entries have received them
}
