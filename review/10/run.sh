#!/usr/bin/env bash
# Exits with 1 if the rule was broken, 0 if it held, 2 if the case couldn't run. TROUBLE=0 leaves
# the disruption out. Run it after the build command of deploy/system.toml and review/build-2.sh.
cd "$(dirname "$0")/../.." || exit 2
if [ ! -x target/bin/wigeonrilld ] || [ ! -x target/review-2/10 ]; then
    echo "missing: target/bin/wigeonrilld or target/review-2/10"
    exit 2
fi
timeout 115 target/review-2/10 review/10/record.txt
code=$?
[ "$code" -le 1 ] || code=2
exit "$code"
