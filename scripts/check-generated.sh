#!/usr/bin/env bash
# Tells whether the generated code is current, where a generator is at hand.
set -euo pipefail
cd "$(dirname "$0")/.."
if ! command -v protoc >/dev/null; then
  echo "generated code not checked: no protoc here"
  exit 0
fi
out=$(mktemp -d)
trap 'rm -rf "$out"' EXIT
PATH="$PWD/.tools:$PATH" protoc -I proto --go_out="$out" \
  --go_opt=module=github.com/mastwinch/mastwinch proto/wire.proto
# The first lines name the versions of the generator, which may differ.
if ! diff <(grep -v '^// 	proto' "$out/internal/wire/wire.pb.go") \
  <(grep -v '^// 	proto' internal/wire/wire.pb.go) >/dev/null; then
  echo "internal/wire is not current: run make generate" >&2
  exit 1
fi
echo "generated code is current"
