#!/bin/sh
# The store comes back from a copy; later the operator empties a zone.
exec python3 -B "$(dirname "$0")/case.py"
