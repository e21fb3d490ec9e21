"""Tests of the stored progress of waves."""

from acaciawing.platform.fleet_records import WaveStatusStore
from standins.job_store import JobStore
from standins.server import serving


class TestMaintenanceProgress:
    """Guards against a wave whose rounds wait for one append a machine."""

    def test_machines_of_a_round_are_stored_in_one_append(self) -> None:
        store = JobStore()
        with serving(store.handle, threads=4) as address:
            statuses = WaveStatusStore(address)
            assert statuses.read({1, 2})
            for wave, machine in ((1, "m1"), (1, "m2"), (2, "m3")):
                statuses.record_maintenance_started(wave, machine)
            statuses.save_maintenance_started()
            statuses.save_maintenance_started()
            appends = [c for c in store.calls if "log-append" in c]
            assert len(appends) == 1
            successor = WaveStatusStore(address)
            assert successor.read({1, 2})
            assert successor.maintenance_started(1) == {"m1", "m2"}
            assert successor.maintenance_started(2) == {"m3"}

    def test_failed_append_is_repeated_by_the_next_round(self) -> None:
        store = JobStore()
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


class TestReturningHolder:
    """Guards against progress that a returning holder takes back."""

    def test_progress_that_another_holder_stored_is_kept(self) -> None:
        store = JobStore()
        with serving(store.handle, threads=4) as address:
            statuses = WaveStatusStore(address)
            assert statuses.read({7})
            statuses.write(7, completed=False)
            statuses.record_maintenance_started(7, "m1")
            other = WaveStatusStore(address)
            assert other.read({7})
            other.record_maintenance_started(7, "m2")
            other.save_maintenance_started()
            other.write(7, completed=True)
            statuses.invalidate()
            assert statuses.read({7})
            assert statuses.completed(7)
            assert statuses.maintenance_started(7) == {"m1", "m2"}
