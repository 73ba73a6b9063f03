#!/usr/bin/env bash
# The stand-ins that the cases start are scripts in Python with its standard library: there is nothing to compile. This
# checks that they, and the project's own stand-in that they use, can be read.
set -euo pipefail
cd "$(dirname "$0")/.."
/usr/bin/python3 - <<'CHECK'
import ast
import pathlib
for path in sorted([*pathlib.Path("review/standins-2").glob("*.py"), *pathlib.Path("review").glob("[0-9]*/case.py"),
                    *pathlib.Path("standins/users_platform").glob("*.py")]):
    ast.parse(path.read_text(encoding="utf-8"), str(path))
CHECK
