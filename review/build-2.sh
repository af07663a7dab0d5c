#!/bin/sh
# Builds the stand-ins that the scripts of the cases 4 to 8 start. Run it after the build of the deploy file.
set -e
cd "$(dirname "$0")/.."
go build -o target/cases-2 ./review/_cases2
