#!/bin/sh
# Prepares the stand-ins of the scripts review/11 to 15. All of them are Python with the standard library, and so
# are those of the project that they use (standins/users_platform): there is nothing to compile. Checks that they load.
cd "$(dirname "$0")/.." || exit 2
python=/usr/bin/python3
[ -x "$python" ] || python=python3
exec env PYTHONDONTWRITEBYTECODE=1 "$python" -c '
import ast, pathlib, sys, tomllib
assert sys.version_info >= (3, 11), sys.version
for folder in ("standins/users_platform", "review/standins-3", *(f"review/{n}" for n in range(11, 16))):
    for path in sorted(pathlib.Path(folder).glob("*.py")):
        ast.parse(path.read_text(encoding="utf-8"), str(path))
'
