#!/usr/bin/env bash
# The stand-ins need Python's standard library alone; this checks that they compile.
set -euo pipefail
cd "$(dirname "$0")"
python3 - <<'PY'
import pathlib
for path in [*pathlib.Path("stand-ins-2").glob("*.py"), *pathlib.Path(".").glob("*/case.py")]:
    compile(path.read_text(), str(path), "exec")
PY
test -d ../target/deps || { echo "first run the build of the deploy file" >&2; exit 1; }
