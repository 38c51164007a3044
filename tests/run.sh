#!/bin/bash
# Builds with warnings as errors and runs all tests, plainly and under sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
for sanitize in OFF ON; do
  dir=build-test-$sanitize
  cmake -B "$dir" -DCMAKE_BUILD_TYPE=Release -DCEDARPLANK_TESTS=ON -DCEDARPLANK_WERROR=ON -DYARROWWOOD_SCALE=ON \
    -DCEDARPLANK_SANITIZE=$sanitize >/dev/null
  cmake --build "$dir" -j "$(nproc)"
  ctest --test-dir "$dir" --output-on-failure -j "$(nproc)"
done
