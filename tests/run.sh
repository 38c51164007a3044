#!/bin/bash
# Builds with warnings as errors and runs all tests, once without and once with sanitizers. Passes over the tests that
# KNOWN-RED.txt lists, and prints them.
set -euo pipefail
cd "$(dirname "$0")/.."

# Prints the names of the known failures, one a line: the first field of each line that is no comment.
known_failures() {
  sed -n '/^[^#]/s/ *|.*//p' KNOWN-RED.txt
}

# Prints a regular expression that matches exactly the names read from standard input; without names, one that
# matches no test.
matching_exactly() {
  local names
  names=$(sed 's/[.[\*^$()+?{|]/\\&/g' | paste -sd '|')
  echo "^(${names:-no known failures})\$"
}

known=$(known_failures | matching_exactly)
for sanitize in OFF ON; do
  build_folder=build-test-$sanitize
  cmake -B "$build_folder" -DCMAKE_BUILD_TYPE=Release -DMESSAGE_RELAY_BUILD_TESTS=ON -DMESSAGE_RELAY_WARNINGS_AS_ERRORS=ON \
    -DMESSAGE_RELAY_BUILD_SCALE_TOOL=ON -DMESSAGE_RELAY_SANITIZE=$sanitize >/dev/null
  cmake --build "$build_folder" -j "$(nproc)"
  grep '^[^#]' KNOWN-RED.txt | sed 's/^/known failure, not run: /' || true
  ctest --test-dir "$build_folder" --output-on-failure -j "$(nproc)" -E "$known"
done

tests=$(ctest --test-dir build-test-OFF -N)
for name in $(known_failures); do
  grep -q ": ${name//./\\.}\$" <<<"$tests" || { echo "KNOWN-RED.txt names no test: $name"; exit 1; }
done
