#!/bin/sh
# Builds the stand-ins that the scripts 6 to 10 start. They are Python of the standard library in
# review/standins2 and need no build: this only checks that they can be loaded by the build's interpreter.
cd "$(dirname "$0")/.." || exit 2
exec .venv/bin/python -B -c "
import sys
sys.path.insert(0, 'review/standins2')
import case, world
"
