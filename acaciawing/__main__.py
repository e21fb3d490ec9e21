"""Runs the command line as ``python -m acaciawing``."""

from acaciawing.commandline.main import main

if __name__ == "__main__":
    main()
