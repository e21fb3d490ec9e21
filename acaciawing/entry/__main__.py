"""Runs one entry instance: ``python -m acaciawing.entry SETTINGS``."""

import sys
from pathlib import Path

from acaciawing.configuration import read_settings
from acaciawing.entry.daemon import run

if __name__ == "__main__":
    run(read_settings(Path(sys.argv[1])))
