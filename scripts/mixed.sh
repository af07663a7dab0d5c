#!/usr/bin/env bash
# Tests that two builds of the programs work together. OLD and NEW are directories of
# binaries, as `make build` writes them to bin. Fails when an invariant is violated in
#   gateways   four VMs, two of each build, on simulated platform services, with the
#              faults that mw-soak injects for each of SEEDS
#   hand-over  entries and keepers of NEW that read the log and the checkpoints which
#              those of OLD wrote
#   entries    entries and keepers of both builds; one keeper of each build is killed
#              and one entry of each is stopped, and all four are restarted
set -euo pipefail
if [ $# -ne 2 ]; then
  echo "usage: scripts/mixed.sh OLD NEW" >&2
  exit 2
fi
old=$(realpath "$1")
new=$(realpath "$2")
cd "$(dirname "$0")/.."
work=$(mktemp -d)
SEEDS=${SEEDS:-292 340} # their plans kill and stop VMs and make servers request backoff or advertise rate limits

# mw-soak sets MASTWINCH_NODE_FILE of each gateway to the settings file of its VM, such as vm-1.json.
cat >"$work/gateway" <<EOF
#!/bin/sh
case \$MASTWINCH_NODE_FILE in
  *[13].json) exec $old/mw-gateway "\$@" ;;
  *) exec $new/mw-gateway "\$@" ;;
esac
EOF
chmod +x "$work/gateway"
echo "gateways: both builds, after a check of the settings by the new one"
"$new/mw-gateway" --check --site examples/mixed/site.json --config deploy/gateway.yaml
for seed in $SEEDS; do
  "$new/mw-soak" --gateway "$work/gateway" --vms 4 --from "$seed" --keep "$work/soak"
done

cp -r examples/demo "$work/config"
for i in 1 2 3; do
  printf 'log:\n  checkpoint_interval: 1s\n' >>"$work/config/keeper$i.yaml"
done
config=$work/config
bin=$old
declare -A bin_of=([standin]=$old)
source scripts/system.sh

# restart NAME DIRECTORY SIGNAL sends a signal to a process, waits for its end and starts it again from the
# binaries in a directory.
restart() {
  kill "-$3" "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null || true
  bin_of[$1]=$2
  start "$1"
}

echo "hand-over: all entries and keepers of the old build, then all of the new one"
start_system
"$old/mw-load" --config "$config/load.yaml"
"$old/mastwinch" organisation list >"$work/organisations.old"
for i in 1 2 3; do
  restart "keeper$i" "$new" TERM
  restart "entry$i" "$new" TERM
done
for i in 1 2 3; do await_ready "entry$i" "127.0.0.1:700$i"; done
"$new/mastwinch" organisation list >"$work/organisations.new"
diff "$work/organisations.old" "$work/organisations.new"
"$new/mw-load" --config "$config/load.yaml"

echo "entries: VM 1 and the keeper of VM 3 run the old build, the others the new one"
restart keeper1 "$old" TERM
restart entry1 "$old" TERM
restart keeper3 "$old" TERM
for i in 1 2 3; do await_ready "entry$i" "127.0.0.1:700$i"; done
"$new/mw-load" --config "$config/load.yaml" &
load=$!
sleep 3
restart keeper1 "$old" KILL
sleep 2
restart keeper2 "$new" KILL
sleep 2
restart entry1 "$old" TERM
await_ready entry1 127.0.0.1:7001
sleep 1
restart entry2 "$new" TERM
wait $load
"$old/mastwinch" --entry http://127.0.0.1:7002 organisation list >"$work/organisations.both"
diff "$work/organisations.old" "$work/organisations.both"
echo "no violations; logs in $work and $logs"
