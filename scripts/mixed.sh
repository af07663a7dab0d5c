#!/usr/bin/env bash
# Runs two builds of the programs beside each other, OLD and NEW being folders
# of binaries (as `make build` fills bin), and fails when a promise is broken:
#   gateways  four VMs, two of either build, on the platform's stand-ins, with the
#             faults of SEEDS
#   hand-over entries and keepers of NEW read the log and the checkpoints that those
#             of OLD wrote
#   entries   entries and keepers of both, of which one of either build is killed,
#             and one entry of either is stopped and started again
set -euo pipefail
if [ $# -ne 2 ]; then
  echo "usage: scripts/mixed.sh OLD NEW" >&2
  exit 2
fi
old=$(realpath "$1")
new=$(realpath "$2")
cd "$(dirname "$0")/.."
work=$(mktemp -d)
SEEDS=${SEEDS:-292 340} # VMs killed and stopped, servers that ask for rest or name limits

# The soak starts each gateway with the settings file of its VM, vm-1.json and so on.
cat >"$work/gateway" <<EOF
#!/bin/sh
case \$MASTWINCH_NODE_FILE in
  *[13].json) exec $old/mw-gateway "\$@" ;;
  *) exec $new/mw-gateway "\$@" ;;
esac
EOF
chmod +x "$work/gateway"
echo "gateways of both builds, settings checked by the new one"
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

# restart NAME FOLDER SIGNAL ends a process and starts that of a build.
restart() {
  kill "-$3" "${pids[$1]}"
  wait "${pids[$1]}" 2>/dev/null || true
  bin_of[$1]=$2
  start "$1"
}

echo "hand-over: all processes of the old build, then all of the new one"
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

echo "entries: VM 1 and the keeper of VM 3 of the old build, the rest of the new one"
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
echo "all promises held; logs in $work and $logs"
