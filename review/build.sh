#!/usr/bin/env bash
# Builds the stand-ins that the scripts start. They are Python, so this only
# compiles them, and checks that the build of the deploy file has the libraries.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m compileall -q standins review
PYTHONPATH="$PWD:$PWD/target/deps" python3 -c 'import review.kit.deployment'
