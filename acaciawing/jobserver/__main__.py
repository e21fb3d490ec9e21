"""Starts the job server: ``python3 -m acaciawing.jobserver``."""

import sys

from acaciawing.jobserver.daemon import main

sys.exit(main())
