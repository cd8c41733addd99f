#!/usr/bin/env bash
# Checks that the logs name the cause of every request that was not served: of those
# that the report of a play names, and of all in the logs. Arguments: files with the
# output of `fleetbench run SITE DAY --log all`, or of hosts. Build first (make build).
set -euo pipefail
ctl="$(dirname "$0")/../bin/sardinectl"
status=0
for file in "$@"; do
  echo "== $file"
  mapfile -t ids < <(awk '/^not served, last try .no connection/ {skip = 1; next}
    /^not served/ {skip = 0; next}
    /request [0-9a-f]+ \(.* sent to / && !skip {print $4}' "$file" | sort -u)
  if [ "${#ids[@]}" -gt 0 ]; then
    "$ctl" causes --logs "$file" "${ids[@]/#/--id=}" || status=1
  fi
  "$ctl" causes --logs "$file" || status=1
done
exit "$status"
