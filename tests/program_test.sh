#!/bin/sh
# The adapter's program itself: its answer to good input, its exit status and message on malformed input.
# Usage: program_test.sh ADAPTER
set -e
adapter=$1
round='{"kind":"ROUND","Clock":1}'
errors=$(mktemp)
trap 'rm -f "$errors"' EXIT

# A round without events.
answer=$(printf '%s\n' "$round" '{"kind":"YOUR_TURN"}' | "$adapter")
test "$answer" = '{"kind":"OK"}'

# An event without its closing brace: one line that names the place.
if printf '%s\n' "$round" '{"kind":"NONSENSE","Who":"relay-0"' | "$adapter" >/dev/null 2>"$errors"; then
  echo "malformed input must fail"
  exit 1
fi
test "$(wc -l <"$errors")" -eq 1
grep -q 'line 2: column' "$errors"
