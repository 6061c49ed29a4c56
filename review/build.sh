#!/usr/bin/env bash
# Builds the stand-ins of the cases into review/bin. The daemon itself is built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")"
mkdir -p bin
for source in [1-5]/case.cpp; do
  number=$(dirname "$source")
  g++ -std=c++20 -O1 -Wall -Wextra -pthread -o "bin/case$number" "$source"
done
