#!/bin/sh
# Builds the stand-ins that the scripts of this review start. All are Python files of the standard library, which
# need no build; this checks that they can be read.
cd "$(dirname "$0")/.." || exit 2
PYTHONDONTWRITEBYTECODE=1 exec python3 - <<'CHECK'
import ast
import pathlib

files = [pathlib.Path("review/rig.py"), pathlib.Path("review/servers.py"), *pathlib.Path("review").glob("*/case.py"),
         pathlib.Path("tools/soak/store.py"), pathlib.Path("tools/soak/wire.py")]
for file in files:
    ast.parse(file.read_text(encoding="utf-8"), str(file))
print(f"{len(files)} files of stand-ins are in place")
CHECK
