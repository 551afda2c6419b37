#!/bin/sh
# Checks that the stand-ins of the second review can be loaded. They need Python's standard library
# only; the entries need what the build line of deploy/system.toml installs.
cd "$(dirname "$0")/.." || exit 1
[ -d target/deps ] || { echo "run the build line of deploy/system.toml first"; exit 1; }
for file in review/common2.py review/6/case.py review/7/case.py review/8/case.py review/9/case.py \
    review/10/case.py; do
    python3 -c "import ast, sys; ast.parse(open(sys.argv[1], encoding='utf-8').read())" "$file" || exit 1
done
