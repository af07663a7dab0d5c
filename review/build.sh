#!/usr/bin/env bash
# Builds the gateway with the command of the deploy file, and the stand-ins of the review's scripts. No network is needed
# once the modules of the project are there.
set -euo pipefail
cd "$(dirname "$0")/.."
go build -ldflags=-linkmode=external -o target/ ./cmd/mw-gateway
go build -o target/review-standin ./review/_standin
