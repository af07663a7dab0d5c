#!/usr/bin/env bash
# Fails when internal/wire is not what tools/protogen generates from proto/wire.proto.
set -euo pipefail
cd "$(dirname "$0")/.."
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
.tools/protogen .tools/protoc-gen-go proto wire.proto github.com/mastwinch/mastwinch "$out"
# The head of the file has the versions of the generators, which may differ.
if ! diff <(grep -v '^// 	proto' "$out/internal/wire/wire.pb.go") \
  <(grep -v '^// 	proto' internal/wire/wire.pb.go) >/dev/null; then
  echo "internal/wire is out of date: run make generate" >&2
  exit 1
fi
echo "generated code is up to date"
