#!/bin/bash
# Builds with warnings as errors and runs all tests, once without and once with sanitizers.
set -euo pipefail
cd "$(dirname "$0")/.."
for sanitize in OFF ON; do
  build_folder=build-test-$sanitize
  cmake -B "$build_folder" -DCMAKE_BUILD_TYPE=Release -DMESSAGE_RELAY_BUILD_TESTS=ON -DMESSAGE_RELAY_WARNINGS_AS_ERRORS=ON \
    -DMESSAGE_RELAY_BUILD_SCALE_TOOL=ON -DMESSAGE_RELAY_SANITIZE=$sanitize >/dev/null
  cmake --build "$build_folder" -j "$(nproc)"
  ctest --test-dir "$build_folder" --output-on-failure -j "$(nproc)"
done
