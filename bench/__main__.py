"""Runs all benchmarks and writes the report.

Run as ``python -m bench [--write] [SECTION...]``; with ``--write`` the report in
the repository is replaced.
"""

import sys
import time
from pathlib import Path

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
        write_json(rows, _JSON)
        _PAGE.write_text(_HEAD + table(rows, earlier, "github") + "\n", "utf-8")
    return 0


if __name__ == "__main__":
    sys.exit(main(sys.argv[1:]))
