"""Runs all benchmarks and writes the report.

Run as ``python -m bench [--write] [SECTION...]``; with ``--write`` the report in
the repository is replaced. ``python -m bench --page`` writes the page and the plots
again from the JSON of the last report.
"""

import sys
import time
from pathlib import Path

from bench.plots import write_plots
from bench.report import Row, read_json, table, write_json
from bench.sections import SECTIONS

_JSON = Path(__file__).parent / "report.json"
_PAGE = Path(__file__).parents[1] / "docs" / "bench-report.md"
_HEAD = """# Benchmark report

Written by `make bench WRITE=1`. Ratios are taken side by side in one run; the
column "before" shows the report that this one replaced. Figures depend on the
machine and on what else runs on it.

"""


def main(arguments: list[str]) -> int:
    """Measures, prints the table and optionally writes the report."""
    if "--page" in arguments:
        _write_page(list(read_json(_JSON).values()), {})
        return 0
    write = "--write" in arguments
    wanted = [name for name in arguments if name != "--write"]
    earlier = read_json(_JSON)
    rows: list[Row] = []
    for section in SECTIONS:
        name = section.__name__.removesuffix("_rows")
        if wanted and name not in wanted:
            continue
        begun = time.monotonic()
        rows += section()
        print(f"{name}: {time.monotonic() - begun:.1f} s", flush=True)
    print(table(rows, earlier, "simple"))
    if write:
        if wanted:
            # Sections that were not run keep their rows.
            merged = {**earlier, **{row.name: row for row in rows}}
            rows = list(merged.values())
        write_json(rows, _JSON)
        _write_page(rows, earlier)
    return 0


def _write_page(rows: list[Row], earlier: dict[str, Row]) -> None:
    plots = write_plots(rows, _PAGE.parent / "plots")
    images = "".join(f"![{name}](plots/{name})\n" for name in plots)
    page = f"{_HEAD}{table(rows, earlier, 'github')}\n\n{images}"
    _PAGE.write_text(page, "utf-8")


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
