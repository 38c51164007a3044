#!/bin/bash
# The stand-ins are Python scripts without dependencies, so that there is nothing to compile. Checks that they
# can be read by the interpreter and that the build of the deploy file has left the relay.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -c 'import sys; assert sys.version_info >= (3, 8), sys.version'
for script in review/rig.py review/*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1], encoding="utf-8").read())' "$script"
done
test -x build/message_relay
