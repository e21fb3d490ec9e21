"""Tests of the sample deployments."""

import hashlib
from pathlib import Path

import pytest

import acaciawing
from acaciawing.configuration import check_files, read_settings

SAMPLES = Path(acaciawing.__file__).parents[1] / "samples"


class TestSamples:
    """Guards against sample deployments with invalid settings or lists."""

    @pytest.mark.parametrize(
        ("deployment", "spare", "slots", "entries"),
        [("frizura", "portal", 240, 9), ("ramdoyal", "backoffice", 320, 8)],
    )
    def test_sample_passes_the_check(
        self, deployment: str, spare: str, slots: int, entries: int
    ) -> None:
        folder = SAMPLES / deployment
        checked = check_files(folder / "customers.toml", folder / "plans.toml")
        assert checked.findings == ()
        assert checked.configuration is not None
        plans = checked.configuration.plans
        assert len(plans) >= 2
        assert sum(plan.concurrency for plan in plans) == slots
        services = checked.configuration.services
        assert len(services) == 5
        assert [s.pool for s in services if s.spare] == [spare]
        for customer in checked.configuration.customers:
            secret = f"sample-{customer.name}".encode()
            digest = hashlib.sha256(secret).hexdigest()
            assert customer.credential_sha256 == digest
        settings = read_settings(folder / "entry.toml")
        assert len(settings.peers) + 1 == entries
