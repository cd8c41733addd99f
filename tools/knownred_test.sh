#!/usr/bin/env bash
# Guards against failures that knownred.sh passes over although KNOWN-RED.txt does not
# list them, and against listed ones that still fail the build.
set -euo pipefail
cd "$(dirname "$0")"
dir="$(mktemp -d)"
trap 'rm -rf "$dir"' EXIT
printf 'test: TestListed\ntest: TestParent/listed\n' > "$dir/list"
export KNOWN_RED="$dir/list"
# expect STATUS TEXT EXIT: a command that prints TEXT and exits with EXIT ends in STATUS.
expect() {
  local got=0
  printf '%b' "$2" > "$dir/text"
  ./knownred.sh bash -c "cat '$dir/text'; exit $3" > "$dir/out" || got=$?
  [ "$got" -eq "$1" ] || { echo "exit status $got, want $1, for: $2"; cat "$dir/out"; exit 1; }
}
listed='--- FAIL: TestListed (0.10s)\n    a_test.go:1: x\nFAIL\nFAIL\texample.com/a\t0.2s\n'
other='--- FAIL: TestOther (0.10s)\nFAIL\nFAIL\texample.com/b\t0.2s\n'
expect 0 'ok  \texample.com/a\t0.2s\n' 0
expect 0 "$listed" 1
expect 0 '--- FAIL: TestParent (0.10s)\n    --- FAIL: TestParent/listed (0.05s)\nFAIL\nFAIL\texample.com/a\t0.2s\n' 1
expect 1 "$other" 1
expect 1 "$listed$other" 1
expect 1 '--- FAIL: TestParent (0.10s)\n    --- FAIL: TestParent/other (0.05s)\nFAIL\nFAIL\texample.com/a\t0.2s\n' 1
expect 1 "${listed}FAIL\texample.com/b [build failed]\n" 1
expect 1 "WARNING: DATA RACE\n$listed" 1
expect 1 "panic: test timed out after 10m0s\n$listed" 1
expect 1 "${listed}FAIL\texample.com/b\t0.2s\n" 1
expect 2 'no test output\n' 2
echo "knownred.sh: ok"
