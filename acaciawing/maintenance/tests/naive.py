"""Naive maintenance: a loop whose progress is in the memory of one process."""

from acaciawing.maintenance.tests.fake_fleet import FakeFleet


def naive_wave(fleet: FakeFleet, killed_after: int | None = None) -> None:
    """Reboots one instance after the other; a new process starts over."""
    for count, instance in enumerate(fleet.instances.values(), 1):
        instance.rebooted += 1
        if count == killed_after:
            return
