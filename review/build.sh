#!/bin/sh
# Checks that the stand-ins of the scripts compile; they need nothing but the standard library.
set -e
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
from pathlib import Path

for path in sorted(Path("review").rglob("*.py")):
    compile(path.read_text(encoding="utf-8"), str(path), "exec")
PYTHON
