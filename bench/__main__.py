"""Runs all benchmarks and writes the report.

Run as ``python -m bench [--write] [SECTION...]``; with ``--write`` the report
in the repository is replaced. ``python -m bench --page`` regenerates the page
and the plots from the JSON of the last report.
"""

import sys
import time
from pathlib import Path

from bench.plots import write_plots
from bench.report import Row, read_json, table, write_json
from bench.sections import SECTIONS

_REPORT_PATH = Path(__file__).parent / "report.json"
_PAGE_PATH = Path(__file__).parents[1] / "docs" / "bench-report.md"
_PAGE_HEADER = """# Benchmark report

Written by `make bench WRITE=1`. Ratios are taken side by side in one run; the
column "before" shows the report that this one replaced. Figures depend on the
machine and on what else runs on it.

"""


def main(arguments: list[str]) -> int:
    """Measures the sections, prints a table, and writes the report on request."""
    if "--page" in arguments:
        _write_page(list(read_json(_REPORT_PATH).values()), {})
        return 0
    write = "--write" in arguments
    requested = [name for name in arguments if name != "--write"]
    previous = read_json(_REPORT_PATH)
    rows: list[Row] = []
    for section in SECTIONS:
        name = section.__name__.removesuffix("_rows")
        if requested and name not in requested:
            continue
        started = time.monotonic()
        rows += section()
        print(f"{name}: {time.monotonic() - started:.1f} s", flush=True)
    print(table(rows, previous, "simple"))
    if write:
        if requested:
            # Sections that were not run keep their rows.
            merged = {**previous, **{row.name: row for row in rows}}
            rows = list(merged.values())
        write_json(rows, _REPORT_PATH)
        _write_page(rows, previous)
    return 0


def _write_page(rows: list[Row], previous: dict[str, Row]) -> None:
    plots = write_plots(rows, _PAGE_PATH.parent / "plots")
    images = "".join(f"![{name}](plots/{name})\n" for name in plots)
    page = f"{_PAGE_HEADER}{table(rows, previous, 'github')}\n\n{images}"
    _PAGE_PATH.write_text(page, "utf-8")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
