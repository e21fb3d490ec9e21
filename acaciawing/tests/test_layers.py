"""Tests of the layers between packages."""

import ast
from pathlib import Path

import pytest

import acaciawing

_ROOT = Path(acaciawing.__file__).parent
_DECIDING = (
    "admission",
    "allocation",
    "budgets",
    "configuration",
    "fold",
    "idempotency",
    "leases",
    "lending",
    "maintenance",
    "measures",
    "membership",
    "ownership",
    "placement",
    "queueing",
    "records",
    "outcomes",
    "retries",
    "routing",
    "snapshots",
)
# Thin tasks that live beside the decisions they run.
_TASKS = {"idempotency/task.py"}
_FORBIDDEN = {
    "socket",
    "threading",
    "time",
    "datetime",
    "logging",
    "structlog",
    "urllib3",
    "cheroot",
    "queue",
    "asyncio",
    "subprocess",
    "multiprocessing",
}


def _imports(path: Path) -> set[str]:
    names = set()
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if isinstance(node, ast.Import):
            names |= {alias.name.split(".")[0] for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names.add(node.module.split(".")[0])
    return names


def _modules(package: str) -> list[Path]:
    return [
        path
        for path in sorted((_ROOT / package).rglob("*.py"))
        if "tests" not in path.parts
        and str(path.relative_to(_ROOT)) not in _TASKS
    ]


class TestLayers:
    """Guards against decisions that depend on clocks or input and output."""

    @pytest.mark.parametrize("package", _DECIDING)
    def test_deciding_package_is_pure(self, package: str) -> None:
        for path in _modules(package):
            assert not _imports(path) & _FORBIDDEN, path

    def test_product_never_imports_stand_ins(self) -> None:
        for path in sorted(_ROOT.rglob("*.py")):
            if "tests" in path.parts:
                continue
            assert not _imports(path) & {"standins", "demo", "bench"}, path


class TestDecoding:
    """Guards against a decoder that a deeply nested value gets past."""

    def test_handlers_catch_all_that_a_decoder_raises(self) -> None:
        partial = [
            f"{path.relative_to(_ROOT)}:{node.lineno}"
            for path in _ROOT.rglob("*.py")
            if "tests" not in path.parts
            for node in ast.walk(ast.parse(path.read_text("utf-8")))
            if isinstance(node, ast.ExceptHandler)
            and node.type is not None
            and "DecodeError" in ast.unparse(node.type)
            and "msgspec" in ast.unparse(node.type)
        ]
        assert not partial
