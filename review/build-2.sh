#!/bin/sh
# The stand-ins of the cases 6 to 10 (review/stand2.py) are Python with its standard library only, so there is nothing to
# compile: this checks that they can run.
cd "$(dirname "$0")" && exec python3 -c 'import sys, stand2; sys.exit(sys.version_info < (3, 9))'
