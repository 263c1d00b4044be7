#!/bin/sh
# The store comes back from a copy; later a host drains.
exec python3 -B "$(dirname "$0")/case.py"
