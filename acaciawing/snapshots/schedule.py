"""Schedule of snapshots."""

SNAPSHOT_INTERVAL_RECORDS = 5_000


def is_snapshot_due(
    state_offset: int, snapshot_offset: int, first_offset: int
) -> bool:
    """Returns whether a snapshot has to be written.

    A snapshot is due after every `SNAPSHOT_INTERVAL_RECORDS` records. It is
    also due when the newest snapshot lies in the older half of the records that
    the log retains, so that retention doesn't overtake it.

    Args:
        state_offset: Offset of the current state, close to the head of the log.
        snapshot_offset: Offset of the newest complete snapshot, 0 for none.
        first_offset: Oldest offset that the log retains.

    >>> is_snapshot_due(4_999, 0, 0), is_snapshot_due(5_000, 0, 0)
    (False, True)
    >>> is_snapshot_due(1_000, 700, 400), is_snapshot_due(1_000, 699, 400)
    (False, True)
    """
    if state_offset - snapshot_offset >= SNAPSHOT_INTERVAL_RECORDS:
        return True
    if first_offset == 0:
        return False  # The log has dropped nothing; retention is unknown.
    return snapshot_offset < (first_offset + state_offset) / 2
