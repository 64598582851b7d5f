#!/usr/bin/env bash
# Builds the stand-ins that the scripts in review/11 to review/15 start, into target/review-3/.
# Run it after the build of deploy/system.toml.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-3
for source in review/standins-3/*.cc; do
    name=$(basename "$source" .cc)
    g++ -std=c++20 -O1 -Wall -Wextra -pthread "$source" -o "target/review-3/$name"
done
