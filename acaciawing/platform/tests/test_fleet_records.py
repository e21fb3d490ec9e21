"""Tests of the stored progress of waves."""

from typing import Any

from acaciawing.platform.fleet_records import WaveStatusStore
from standins.job_store import JobStore
from standins.server import Response, serving


class _CountingStore(JobStore):
    def __init__(self) -> None:
        super().__init__()
        self.appends: list[str] = []

    def handle(
        self,
        method: str,
        path: str,
        query: dict[str, str],
        body: bytes,
        environ: dict[str, Any],
    ) -> Response:
        if path == "/v1/log-append":
            self.appends.append(query["Topic"])
        return super().handle(method, path, query, body, environ)


class TestMaintenanceProgress:
    """Guards against a wave whose rounds wait for one append a machine."""

    def test_machines_of_a_round_are_stored_in_one_append(self) -> None:
        store = _CountingStore()
        with serving(store.handle, threads=4) as address:
            statuses = WaveStatusStore(address)
            assert statuses.read({1, 2})
            for wave, machine in ((1, "m1"), (1, "m2"), (2, "m3")):
                statuses.record_maintenance_started(wave, machine)
            statuses.save_maintenance_started()
            statuses.save_maintenance_started()
            assert len(store.appends) == 1
            successor = WaveStatusStore(address)
            assert successor.read({1, 2})
            assert successor.maintenance_started(1) == {"m1", "m2"}
            assert successor.maintenance_started(2) == {"m3"}

    def test_failed_append_is_repeated_by_the_next_round(self) -> None:
        store = _CountingStore()
        with serving(store.handle, threads=4) as address:
            statuses = WaveStatusStore(address)
            assert statuses.read({1})
            statuses.record_maintenance_started(1, "m1")
            store.unavailable = True
            statuses.save_maintenance_started()
            store.unavailable = False
            assert statuses.read({1})
            successor = WaveStatusStore(address)
            assert successor.read({1})
            assert successor.maintenance_started(1) == {"m1"}
