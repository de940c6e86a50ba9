#!/usr/bin/env bash
# Check the stand-ins of the scripts; they need Python and its standard library only.
set -euo pipefail
cd "$(dirname "$0")/.."
export PYTHONDONTWRITEBYTECODE=1
for file in review/standins/standins.py review/[1-5]/case.py; do
  if [ -f "$file" ]; then
    python3 -c 'import ast, sys; ast.parse(open(sys.argv[1]).read())' "$file"
  fi
done
