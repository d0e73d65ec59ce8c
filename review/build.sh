#!/bin/sh
# Builds every stand-in that a script starts: they are Python modules of the standard library only.
set -e
cd "$(dirname "$0")"
python3 -c "import ast, sys; [ast.parse(open(path).read(), path) for path in sys.argv[1:]]" standins/*.py */case.py
