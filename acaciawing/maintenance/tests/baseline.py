"""Baseline maintenance: a loop that keeps its progress only in memory."""

from acaciawing.maintenance.tests.fake_fleet import FakeFleet


def baseline_wave(fleet: FakeFleet, killed_after: int | None = None) -> None:
    """Reboots the instances one by one; a new process starts from the first."""
    for count, instance in enumerate(fleet.instances.values(), 1):
        instance.reboot_count += 1
        if count == killed_after:
            return
