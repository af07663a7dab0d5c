#!/usr/bin/env bash
# Fails when internal/wire is not what protoc generates from proto/wire.proto.
# Does nothing when protoc is not installed.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v protoc >/dev/null; then
  echo "generated code not checked: protoc is not installed"
  exit 0
fi
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
PATH="$PWD/.tools:$PATH" protoc -I proto --go_out="$out" \
  --go_opt=module=github.com/mastwinch/mastwinch proto/wire.proto
# The head of the file has the versions of the generators, which may differ.
if ! diff <(grep -v '^// 	proto' "$out/internal/wire/wire.pb.go") \
  <(grep -v '^// 	proto' internal/wire/wire.pb.go) >/dev/null; then
  echo "internal/wire is out of date: run make generate" >&2
  exit 1
fi
echo "generated code is up to date"
