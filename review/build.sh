#!/usr/bin/env bash
# Builds the stand-ins that the scripts of the cases start. Needs the compiler only.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review
for source in review/standins/*.cc; do
    g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "target/review/$(basename "$source" .cc)" "$source"
done
