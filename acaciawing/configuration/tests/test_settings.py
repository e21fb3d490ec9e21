"""Tests of the check of the process settings."""

from pathlib import Path

import pytest
from syrupy.assertion import SnapshotAssertion

from acaciawing.configuration import (
    Code,
    InvalidSettingsError,
    Peer,
    read_settings,
)

BROKEN = Path(__file__).parent / "broken"
SETTINGS = f"""\
instance = "entry-1"
zone = "koper"
region = "slovenia"
listen = "127.0.0.1:0"
administration = "127.0.0.1:0"
log = "http://127.0.0.1:7000"
list = "http://127.0.0.1:7001/"
administration_sha256 = "{"0" * 64}"
peer_credential = "sample-peers"

[[peers]]
instance = "entry-2"
zone = "maribor"
address = "[::1]:9002"
"""


class TestReadSettings:
    """Guards against a daemon that starts with invalid settings."""

    def test_valid_settings(self, tmp_path: Path) -> None:
        path = tmp_path / "entry.toml"
        path.write_text(SETTINGS)
        settings = read_settings(path)
        assert settings.peers == (Peer("entry-2", "maribor", "[::1]:9002"),)
        assert (settings.threads, settings.log_format) == (64, "json")
        assert "sample-peers" not in repr(settings)

    def test_all_findings_of_invalid_settings(
        self, snapshot: SnapshotAssertion, monkeypatch: pytest.MonkeyPatch
    ) -> None:
        monkeypatch.chdir(BROKEN)
        with pytest.raises(InvalidSettingsError) as caught:
            read_settings(Path("entry.toml"))
        assert [str(f) for f in caught.value.findings] == snapshot

    def test_absent_file_is_a_finding(self, tmp_path: Path) -> None:
        with pytest.raises(InvalidSettingsError) as caught:
            read_settings(tmp_path / "absent.toml")
        codes = [finding.code for finding in caught.value.findings]
        assert codes == [Code.UNREADABLE_FILE]
