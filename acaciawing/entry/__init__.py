"""The entry daemon: listeners and the tasks behind them."""

from acaciawing.entry.daemon import Daemon, run

__all__ = ["Daemon", "run"]
