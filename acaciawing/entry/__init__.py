"""The entry daemon: tasks around the decisions."""

from acaciawing.entry.daemon import Daemon, run

__all__ = ["Daemon", "run"]
