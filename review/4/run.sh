#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. Needs the build of
# deploy/system.toml and review/build.sh. TROUBLE=0 leaves the disruption out.
set -uo pipefail
here=$(cd "$(dirname "$0")" && pwd)
root=$(cd "$here/../.." && pwd)
program=$root/target/review/late_write
[ -x "$program" ] && [ -x "$root/target/bin/wigeonrilld" ] || { echo "not built"; exit 2; }
folder=$(mktemp -d) || exit 2
trap 'rm -rf "$folder"' EXIT
timeout -k 2 115 "$program" "$folder" "$root" "$here/record.txt"
status=$?
[ "$status" -le 1 ] && exit "$status"
exit 2
