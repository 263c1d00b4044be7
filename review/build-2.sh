#!/bin/sh
# Prepares the stand-ins of the cases 6 to 9, which are Python files and need no
# build: checks that python3 is there and can read them. Exits with 2 if not.
cd "$(dirname "$0")" || exit 2
python3 -B - harness-2/standins.py 6/case.py 7/case.py 8/case.py 9/case.py <<'END' || exit 2
import sys

assert sys.version_info >= (3, 9), "python3 is older than 3.9"
for path in sys.argv[1:]:
    with open(path, encoding="utf-8") as file:
        compile(file.read(), path, "exec")
END
