#!/usr/bin/env bash
# Plays the case in a folder.
set -u
case_py="$(cd "$1" && pwd)/case.py"
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
PYTHONPATH="$PWD:$PWD/target/deps" exec python3 "$case_py"
