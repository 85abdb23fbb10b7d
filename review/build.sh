#!/usr/bin/env bash
# Builds every stand-in of the cases. They are Python of the standard library, so this only checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'CHECK'
import ast, glob, sys
for path in glob.glob("standins/*.py") + glob.glob("[1-5]/*.py") + glob.glob("earlier/*/*.py") + glob.glob("more/*/*.py"):
    with open(path, encoding="utf-8") as file:
        ast.parse(file.read(), path)
print("stand-ins checked with Python", sys.version.split()[0])
CHECK
