#!/bin/bash
# Checks that every path in backquotes in the developer documentation exists.
# Usage: documentation_test.sh ROOT
#   ROOT  root of the source tree
# A path is a word that begins with a folder of the source tree; a trailing .* stands for the header and source of one name.
set -euo pipefail
shopt -s nullglob
cd "$1"
missing=0
for page in README.md docs/ARCHITECTURE.md docs/operations.md docs/CAPACITY.md; do
  while read -r path; do
    matches=($path)
    if ((${#matches[@]} == 0)) || [[ ! -e ${matches[0]} ]]; then
      echo "$page refers to $path, which does not exist"
      missing=1
    fi
  done < <(grep -oE '`(src|include|configuration|adapter|relay|scale|tests|tools|docs|deploy)/[A-Za-z0-9_./*-]*`' "$page" | tr -d '`' | sort -u)
done
exit $missing
