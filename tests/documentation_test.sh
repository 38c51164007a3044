#!/bin/bash
# Usage: documentation_test.sh ROOT: every path in backquotes on the pages for readers of the code exists. A path is a word
# that begins with a folder of the source tree; a trailing .* stands for the header and source of one name.
set -euo pipefail
shopt -s nullglob
cd "$1"
missing=0
for page in README.md docs/ARCHITECTURE.md docs/operations.md docs/CAPACITY.md; do
  while read -r path; do
    found=($path)
    if ((${#found[@]} == 0)) || [[ ! -e ${found[0]} ]]; then
      echo "$page names $path, which is not there"
      missing=1
    fi
  done < <(grep -oE '`(src|include|configuration|adapter|relay|scale|tests|tools|docs|deploy)/[A-Za-z0-9_./*-]*`' "$page" | tr -d '`' | sort -u)
done
exit $missing
