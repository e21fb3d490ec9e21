"""Test that the decision packages depend only on their arguments."""

import ast
from pathlib import Path

import pytest

import acaciawing

FORBIDDEN = {
    "asyncio",
    "datetime",
    "logging",
    "os",
    "queue",
    "selectors",
    "socket",
    "structlog",
    "threading",
    "time",
    "urllib3",
}


@pytest.mark.parametrize(
    "package", ["admission", "membership", "queueing", "routing"]
)
def test_no_sockets_threads_clocks_or_logging(package: str) -> None:
    """Guards against decisions that can't be reproduced from recorded input."""
    folder = Path(acaciawing.__file__).parent / package
    for path in folder.glob("*.py"):
        for node in ast.walk(ast.parse(path.read_text("utf-8"))):
            names = []
            if isinstance(node, ast.Import):
                names = [alias.name for alias in node.names]
            elif isinstance(node, ast.ImportFrom):
                names = [node.module or ""]
            for name in names:
                assert name.split(".")[0] not in FORBIDDEN, path.name
