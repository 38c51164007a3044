#!/bin/sh
# Runs the simulator adapter: its response to valid input, its exit status and error message on malformed input.
# Usage: program_test.sh ADAPTER
set -e
adapter=$1
round='{"kind":"ROUND","Clock":1}'
errors=$(mktemp)
trap 'rm -f "$errors"' EXIT

# A round without events.
response=$(printf '%s\n' "$round" '{"kind":"YOUR_TURN"}' | "$adapter")
test "$response" = '{"kind":"OK"}'

# An event without its closing brace: the error is one line with the position of the fault.
if printf '%s\n' "$round" '{"kind":"NONSENSE","Who":"relay-0"' | "$adapter" >/dev/null 2>"$errors"; then
  echo "the adapter must exit with an error on malformed input"
  exit 1
fi
test "$(wc -l <"$errors")" -eq 1
grep -q 'line 2: column' "$errors"
