#!/usr/bin/env bash
# Builds the programs of the cases 6 to 10, with their stand-ins, after the build of the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
mkdir -p target/review-2
for source in review/standin-2/*.cc; do
  name="$(basename "$source" .cc)"
  g++ -O1 -std=c++20 -Wall -Wextra -pthread -o "target/review-2/$name" "$source"
done
