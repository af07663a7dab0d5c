#!/usr/bin/env bash
# Plays case 3 with processes on loopback. Exits with 1 if the rule was broken, 0 if it held, 2 if the case could not run.
# TROUBLE=0 plays it without the disruption. review/build.sh builds what it needs.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/mw-gateway ] || [ ! -x target/review-standin ]; then
  bash review/build.sh || exit 2
fi
exec target/review-standin kill target/mw-gateway deploy/gateway.yaml review/3
