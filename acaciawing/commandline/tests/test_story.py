"""Tests of selecting the log lines about one id."""

import json
from pathlib import Path

import pytest

from acaciawing.commandline.main import main
from acaciawing.commandline.story import read_logs, select_lines


def _line(second: int, number: str, **values: object) -> str:
    return json.dumps(
        {
            "timestamp": f"2026-01-01T00:00:{second:02}Z",
            "entry": "entry-1",
            "number": number,
            "event": "event",
            **values,
        }
    )


_LINES = (
    _line(5, "AW3305", cell=3, subtask="j1.0.0.0", worker="w1"),
    "edge-1 12.5 " + _line(1, "AW3401", job="j1"),
    _line(2, "AW3301", cell=3, subtask="j1.0.0.0", worker="w1"),
    _line(3, "AW3103", cell=3),
    _line(3, "AW3103", cell=4),
    _line(4, "AW3202", worker="w1"),
    _line(4, "AW3202", worker="w2"),
    _line(4, "AW3301", cell=3, subtask="j12.0.0.0", worker="w1"),
    "not a line",
    "{broken",
)


class TestStory:
    """Guards against lines of other subjects and missing context lines."""

    def test_lines_of_all_instances_are_sorted_with_context(self) -> None:
        logs = read_logs(_LINES)
        assert logs.unreadable == 2
        found = [line.number for line in select_lines(logs, "j1")]
        assert found == ["AW3401", "AW3301", "AW3103", "AW3202", "AW3305"]

    def test_longer_ids_with_the_same_prefix_are_excluded(self) -> None:
        logs = read_logs(_LINES)
        found = {
            line.values.get("subtask") for line in select_lines(logs, "j12")
        }
        assert found - {None} == {"j12.0.0.0"}

    def test_command_prints_lines_and_counts_unreadable_ones(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        log = tmp_path / "log"
        log.write_text("\n".join(_LINES), "utf-8")
        assert main(["story", "j1", str(log)]) == 0
        shown = capsys.readouterr()
        assert len(shown.out.splitlines()) == 5
        assert "2 lines could not be read" in shown.err

    def test_command_fails_without_a_match(
        self, tmp_path: Path, capsys: pytest.CaptureFixture[str]
    ) -> None:
        log = tmp_path / "log"
        log.write_text("\n".join(_LINES), "utf-8")
        assert main(["story", "nobody", str(log)]) != 0
        assert "no line about nobody" in capsys.readouterr().err

    def test_command_fails_with_an_absent_file(
        self, capsys: pytest.CaptureFixture[str]
    ) -> None:
        assert main(["story", "j1", "/does/not/exist"]) != 0
        assert "/does/not/exist" in capsys.readouterr().err
