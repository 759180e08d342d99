#!/usr/bin/env bash
# The stand-ins are Python programs of the standard library alone; there is nothing to compile. This
# checks that an interpreter is there and reads them.
set -euo pipefail
cd "$(dirname "$0")"
python3 -c 'import asyncio, sys; assert hasattr(asyncio, "timeout"), sys.version'
for file in lib/*.py [1-5]/*.py; do
  [ -e "$file" ] || continue
  python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
done
