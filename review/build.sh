#!/usr/bin/env bash
# Prepares the stand-ins that the scripts of the cases start: those of this folder and the project's own of the users'
# platform. All are Python programs that use only the standard library, so that they are compiled only to check them.
set -euo pipefail
cd "$(dirname "$0")/.."
scratch="$(mktemp -d)"
trap 'rm -rf "$scratch"' EXIT
python3 - "$scratch" review/standin/*.py review/[0-9]*/*.py standins/users_platform/*.py <<'PYTHON'
import pathlib
import py_compile
import sys

for number, source in enumerate(sys.argv[2:]):
    py_compile.compile(source, cfile=str(pathlib.Path(sys.argv[1], f"{number}.pyc")), doraise=True)
print(f"{len(sys.argv) - 2} stand-ins and scripts compile")
PYTHON
