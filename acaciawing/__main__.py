"""Runs the command line as ``python -m acaciawing``."""

import sys

from acaciawing.commandline.main import main

if __name__ == "__main__":
    sys.exit(main())
