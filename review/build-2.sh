#!/bin/sh
# Prepares the stand-ins of the cases 6 to 10. They are Python programs of the standard library alone, so there is nothing to
# compile: this checks that the interpreter is there and reads each file. The daemon comes from the build of the deploy file.
set -eu
cd "$(dirname "$0")"
for file in standins-2/*.py [0-9]*/case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read(), sys.argv[1])' "$file"
done
