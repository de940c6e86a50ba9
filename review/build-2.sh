#!/usr/bin/env bash
# Check that the stand-ins of the cases 6 to 10 can be imported; they are plain Python
# and need only what the build of the deploy file puts into target/deps.
set -euo pipefail
cd "$(dirname "$0")/.."
PYTHONDONTWRITEBYTECODE=1 PYTHONPATH="target/deps:." python3 - <<'PY'
import sys

sys.path.insert(0, "review/second")
import world  # noqa: F401

from berylhinge.standins import metadata_store  # noqa: F401

print("the stand-ins can be imported")
PY
