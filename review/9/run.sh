#!/bin/bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 plays it
# without the disruption. Build before: the build line of deploy/system.toml and review/build-2.sh.
folder="$(cd "$(dirname "$0")" && pwd)" || exit 2
root="$(cd "$folder/../.." && pwd)" || exit 2
if [ ! -x "$root/target/bin/sardinefront" ] || [ ! -x "$root/target/bin/review-standin2" ]; then
  echo "not built" >&2
  exit 2
fi
exec "$root/target/bin/review-standin2" reader "$root" "$folder"
