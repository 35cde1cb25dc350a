#!/bin/sh
# The stand-ins are Python scripts of the standard library: there is nothing to compile. Their syntax is checked,
# and that the programs of the deploy file are built.
cd "$(dirname "$0")" || exit 1
for program in proxy control storage; do
    [ -x "../target/whinledge-$program" ] || { echo "build the programs of deploy/system.toml first"; exit 1; }
done
for file in *.py */case.py; do
    python3 -B -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file" || exit 1
done
