"""When a snapshot has to be written."""

SNAPSHOT_INTERVAL_RECORDS = 5_000


def snapshot_due(
    state_offset: int, snapshot_offset: int, first_offset: int
) -> bool:
    """Returns whether a snapshot has to be written.

    It is due every `SNAPSHOT_INTERVAL_RECORDS` records, and when the oldest record that a
    reader of the newest snapshot needs has passed half of the log's retention.

    Args:
        state_offset: Offset of the state held, close to the head of the log.
        snapshot_offset: Offset of the newest complete snapshot, 0 for none.
        first_offset: Oldest offset that the log still keeps.

    >>> snapshot_due(4_999, 0, 0), snapshot_due(5_000, 0, 0)
    (False, True)
    >>> snapshot_due(1_000, 700, 400), snapshot_due(1_000, 699, 400)
    (False, True)
    """
    if state_offset - snapshot_offset >= SNAPSHOT_INTERVAL_RECORDS:
        return True
    if first_offset == 0:
        return False  # The log has dropped nothing; retention is unknown.
    return snapshot_offset < (first_offset + state_offset) / 2
