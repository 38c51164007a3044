#!/bin/sh
# Builds the stand-ins of the cases 6 to 10. They are Python 3 scripts that use its standard library alone, so this
# only checks that they can be read by the Python of this machine. The relay itself comes from the build of the
# deploy file.
set -eu
cd "$(dirname "$0")"
for file in rig2.py [0-9]*/case.py; do
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
python3 -c 'import sys; assert sys.version_info >= (3, 8), "Python 3.8 or later is needed"'
test -x ../build/message_relay || { echo "build/message_relay is missing: run the build of deploy/balancer.toml" >&2; exit 1; }
