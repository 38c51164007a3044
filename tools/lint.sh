#!/bin/bash
# Checks all C++ files as CI does. Usage: tools/lint.sh [format|tidy|all] (all unless given).
#   format  clang-format: no file differs from .clang-format
#   tidy    clang-tidy: no finding of .clang-tidy, over all cores; configures build-lint for the compile commands
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
