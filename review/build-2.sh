#!/bin/sh
# What the scripts of the second review start besides the programs of the deploy file: stand-ins in Python (stage2.py),
# of its standard library only. There is nothing to compile; this checks that they can be run.
set -eu
cd "$(dirname "$0")"
python3 -c 'import asyncio, sys, tomllib; sys.exit(0 if sys.version_info >= (3, 11) else "python3 3.11 or later is needed")'
python3 - <<'END'
import ast
ast.parse(open("stage2.py", encoding="utf-8").read(), "stage2.py")
END
echo "the stand-ins can be run"
