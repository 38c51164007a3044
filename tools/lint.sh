#!/bin/bash
# Checks the C++ files in the same way as CI.
# Usage: tools/lint.sh [format|tidy|all] (default: all)
#   format  runs clang-format; fails if a file is not formatted according to .clang-format
#   tidy    runs clang-tidy on the files outside tests/consumer, one process per core; fails if a check that
#           .clang-tidy enables reports anything. Configures build-lint, which provides the compile commands.
set -euo pipefail
cd "$(dirname "$0")/.."
what=${1:-all}
mapfile -t files < <(git ls-files '*.cpp' '*.hpp')
if [[ $what == format || $what == all ]]; then
  clang-format --dry-run --Werror "${files[@]}"
fi
if [[ $what == tidy || $what == all ]]; then
  cmake -B build-lint -DCMAKE_BUILD_TYPE=Release -DCMAKE_EXPORT_COMPILE_COMMANDS=ON -DMESSAGE_RELAY_BUILD_TESTS=ON \
    -DMESSAGE_RELAY_BUILD_SCALE_TOOL=ON >/dev/null
  git ls-files '*.cpp' | grep -v '^tests/consumer/' |
    xargs -P "$(nproc)" -n 1 clang-tidy -p build-lint --quiet
fi
