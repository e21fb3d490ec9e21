#!/usr/bin/env bash
# Plays the case in the folder of the calling script.
set -u
cd "$(dirname "${BASH_SOURCE[0]}")/../.."
PYTHONPATH="$PWD:$PWD/target/deps" exec python3 "review/$1/case.py"
