"""Tests of the layers between packages."""

import ast
import sys
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


def _full_imports(path: Path) -> set[str]:
    """Returns the modules that a file imports, with what it takes of them."""
    names = set()
    for node in ast.walk(ast.parse(path.read_text("utf-8"))):
        if isinstance(node, ast.Import):
            names |= {alias.name for alias in node.names}
        elif isinstance(node, ast.ImportFrom) and node.module:
            names |= {f"{node.module}.{alias.name}" for alias in node.names}
    return names


def _files_of(module: str) -> list[Path]:
    """Returns the files that importing a module of the product runs."""
    files = []
    folder = _ROOT
    for part in module.split("."):
        files.append(folder / f"{part}.py")
        folder /= part
        files.append(folder / "__init__.py")
    return [path for path in files if path.exists()]


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


class TestDeployment:
    """Guards against a deployed program that lacks a library it imports."""

    def test_job_server_imports_only_what_its_deployment_installs(self) -> None:
        lines = (_ROOT.parent / "deploy" / "requirements.txt").read_text(
            "utf-8"
        )
        installed = {
            line.partition("==")[0].lower().replace("-", "_")
            for line in lines.splitlines()
        }
        modules = [*_modules("jobserver")]
        seen: set[Path] = set()
        missing = set()
        while modules:
            path = modules.pop()
            if path in seen:
                continue
            seen.add(path)
            for name in _full_imports(path):
                top, _, rest = name.partition(".")
                if top == "acaciawing":
                    modules += _files_of(rest)
                elif not (
                    top in sys.stdlib_module_names
                    or any(d.startswith(top) for d in installed)
                ):
                    missing.add(f"{path.relative_to(_ROOT)}: {name}")
        assert len(seen) > len(_modules("jobserver"))
        assert not missing


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
