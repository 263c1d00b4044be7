#!/bin/sh
# Hosts are cut off and reachable again; then they drain.
exec python3 -B "$(dirname "$0")/case.py"
