"""Tests of the collection of demand for lending."""

import msgspec

from acaciawing.control import DemandObserved
from acaciawing.entry.demand import DemandTask


class TestDemand:
    """Guards against loans decided on incomplete demand."""

    def _collect(
        self, answers: dict[str, bytes | None]
    ) -> list[DemandObserved]:
        reported: list[DemandObserved] = []
        task = DemandTask(
            "entry-1",
            lambda: True,
            lambda: {"visits": 1.0},
            lambda member: answers[member],
            reported.append,
        )
        vars(task)["_live"] = ("entry-1", *answers)
        task.collect()
        return reported

    def test_demand_of_all_members_is_summed(self) -> None:
        answer = msgspec.json.encode({"visits": 2.0, "portal": 4.0})
        (collected,) = self._collect({"entry-2": answer, "entry-3": answer})
        assert collected.pools == {"visits": 5.0, "portal": 8.0}

    def test_missing_or_malformed_answer_prevents_a_report(self) -> None:
        assert not self._collect({"entry-2": None})
        assert not self._collect({"entry-2": b"garbled"})

    def test_peer_gets_the_own_demand(self) -> None:
        task = DemandTask(
            "entry-1",
            lambda: False,
            lambda: {"visits": 1.0},
            lambda member: None,
            lambda demand: None,
        )
        assert msgspec.json.decode(task.answer_peer(b"{}")) == {"visits": 1.0}
