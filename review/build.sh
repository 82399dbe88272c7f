#!/bin/bash
# The stand-ins are Python 3 (standard library only): there is nothing to compile, only to check.
set -e
cd "$(dirname "$0")"
python3 -B -c 'import sys; assert sys.version_info >= (3, 9), sys.version'
for file in stand.py */case.py; do python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"; done
