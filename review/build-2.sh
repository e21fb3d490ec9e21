#!/bin/sh
# Builds the stand-ins that the scripts of review/6 to review/10 start. They use
# the standard library of Python 3.11 alone, so they are only compiled, into
# memory. The job servers need the `build` of deploy/system.toml.
set -e
cd "$(dirname "$0")/.."
python3 - <<'PYTHON'
import pathlib
import sys

if sys.version_info < (3, 11):
    sys.exit("Python 3.11 is needed")
files = [*pathlib.Path("review/kit2").glob("*.py")]
files += [p for n in range(6, 11) for p in pathlib.Path("review").glob(f"{n}/*.py")]
for path in files:
    compile(path.read_text("utf-8"), str(path), "exec")
print(f"compiled {len(files)} files")
PYTHON
