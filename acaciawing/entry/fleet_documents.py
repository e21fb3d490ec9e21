"""Moves, waves and loans as ``/v1/status`` shows them."""

from typing import Any

from acaciawing.fold import FleetState
from acaciawing.ownership import SERVING


def fleet_documents(state: FleetState) -> dict[str, list[dict[str, Any]]]:
    """Returns what is under way, ordered by name.

    >>> fleet_documents(FleetState())
    {'moves': [], 'waves': [], 'loans': []}
    """
    moves = [
        {
            "instance": name,
            "pool": owned.pool,
            "to": owned.to_pool,
            "phase": owned.phase,
        }
        for name, owned in sorted(state.ownership.instances.items())
        if owned.phase != SERVING
    ]
    waves = []
    for pool, wave in sorted(state.waves.active.items()):
        stages: dict[str, int] = {}
        for member in wave.members.values():
            stage = member.stage.value
            stages[stage] = stages.get(stage, 0) + 1
        waves.append(
            {
                "pool": pool,
                "number": wave.number,
                "stopped": state.waves.is_stopped(pool),
                "stages": dict(sorted(stages.items())),
            }
        )
    loans = [
        {
            "instance": name,
            "home": loan.home,
            "borrower": loan.borrower,
            "due_at": loan.due_at,
            "returning": loan.returning,
        }
        for name, loan in sorted(state.loans.active.items())
    ]
    return {"moves": moves, "waves": waves, "loans": loans}
