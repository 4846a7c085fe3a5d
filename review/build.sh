#!/usr/bin/env bash
# Checks the stand-ins that the scripts start: they are Python programs and need no compiler.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 - scripts/platform_standin.py review/lib/*.py review/*/*.py <<'PYTHON'
import ast
import pathlib
import sys
for name in sys.argv[1:]:
    ast.parse(pathlib.Path(name).read_text(), name)
PYTHON
