#!/bin/bash
# Builds with warnings as errors and runs all tests, plainly and under sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
for sanitize in OFF ON; do
  dir=build-test-$sanitize
  cmake -B "$dir" -DCMAKE_BUILD_TYPE=Release -DMESSAGE_RELAY_BUILD_TESTS=ON -DMESSAGE_RELAY_WARNINGS_AS_ERRORS=ON \
    -DMESSAGE_RELAY_BUILD_SCALE_TOOL=ON -DMESSAGE_RELAY_SANITIZE=$sanitize >/dev/null
  cmake --build "$dir" -j "$(nproc)"
  ctest --test-dir "$dir" --output-on-failure -j "$(nproc)"
done
