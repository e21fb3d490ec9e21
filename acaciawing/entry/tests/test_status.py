"""Tests of the status document and of the reasons for no work."""

from dataclasses import replace
from typing import Any

import pytest
from immutables import Map

from acaciawing.entry.no_work_reasons import no_work_reasons
from acaciawing.entry.paging import PageRequest
from acaciawing.entry.status import LISTS, status, status_list
from acaciawing.entry.tests.views import NOW, OWN, make_state, make_view
from acaciawing.fold import step
from acaciawing.placement import Resources, TaskRefused, TaskSubmitted
from acaciawing.records import LogPosition, encode


def document(limit: int = 100) -> dict[str, Any]:
    return status(OWN, make_view(), NOW, PageRequest[str](limit))


class TestPlans:
    """Guards against a budget computed from one instance's counts only."""

    def test_counts_include_all_entry_instances(self) -> None:
        (plan,) = document()["plans"]
        assert (plan["succeeded"], plan["failed"]) == (1995, 5)
        assert plan["achieved"] == pytest.approx(0.9975)
        assert plan["promised"] == 0.99
        assert plan["here"] == {"succeeded": 1010, "failed": 2, "refused": 4}

    def test_remaining_budget_reserves_failures_not_yet_counted(self) -> None:
        (plan,) = document()["plans"]
        # 5 failures in the last 20 s, and 2 counted here and not appended yet.
        assert plan["burn_rate"] == pytest.approx(0.25)
        assert plan["held_back"] == pytest.approx(0.25 * 10 + 2)
        assert plan["remaining_budget"] == pytest.approx(20 - 5 - 4.5)

    def test_plan_without_requests_has_no_achieved_rate(self) -> None:
        view = make_view()
        late = status(OWN, view, NOW + 7200.0, PageRequest[str]())
        assert late["plans"][0]["achieved"] is None


class TestLists:
    """Guards against parts of the fleet that are missing in the status."""

    def test_members_of_roster_and_gossip(self) -> None:
        members = [
            (m["instance"], m["live"], m["on_roster"])
            for m in document()["members"]
        ]
        assert members == [
            ("entry-a", True, True),
            ("entry-b", False, True),
            ("entry-c", True, False),
        ]

    def test_move_has_the_reason_for_waiting(self) -> None:
        moves = document()["moves"]
        assert [(m["instance"], m["phase"], m["waits_for"]) for m in moves] == [
            ("portal-1", "leaving", "lease"),
            ("portal-2", "returning", "return"),
        ]
        without_log = replace(OWN, log_up=False)
        part = status_list(
            "moves", without_log, make_view(), NOW, PageRequest()
        )
        assert [m["waits_for"] for m in part["entries"]] == ["log", "log"]

    def test_wave_has_stages_and_held_instances(self) -> None:
        all_pools, visits = document()["waves"]
        assert (all_pools["pool"], all_pools["stopped_at"]) == ("", 30)
        assert visits["stopped"] and visits["stopped_at"] is None
        assert visits["stages"] == {"rebooting": 1, "waiting": 1}
        assert visits["held"] == [
            {"instance": "visits-1", "stage": "rebooting", "since": 80.0}
        ]

    def test_wave_has_the_reasons_for_waiting(self) -> None:
        view = make_view()
        # visits-1 is down, so each bound of one is reached; visits-2 waits.
        assert document()["waves"][1]["waits_for"] == [
            "stopped",
            "pool-bound",
            "rack-bound",
        ]
        waves = replace(view.state.waves, stopped=Map(), in_progress=Map())
        free = replace(view, state=replace(view.state, waves=waves))
        without_log = replace(OWN, log_up=False)
        spent = replace(free.plans["gold"], failed=20)
        for own, engine_view, now, codes in (
            (OWN, free, NOW, []),
            (without_log, free, NOW, ["log"]),
            (OWN, free, NOW + 6, ["lease"]),
            (OWN, replace(free, plans={"gold": spent}), NOW, ["budget"]),
        ):
            part = status_list("waves", own, engine_view, now, PageRequest())
            assert part["entries"][0]["waits_for"] == codes

    def test_loans_and_leases_are_listed(self) -> None:
        (loan,) = document()["loans"]
        assert (loan["home"], loan["due_at"]) == ("portal", 400.0)
        leases = document()["leases"]
        assert [(x["subject"], x["holder"], x["held"]) for x in leases] == [
            ("pool:portal", "entry-b/1", False),
            ("pool:visits", "entry-a/1", True),
        ]

    def test_incomplete_list_has_the_key_to_continue_after(self) -> None:
        first = document(limit=1)
        assert first["more"]["members"] == "entry-a"
        assert "loans" not in first["more"]
        for name in LISTS:
            entries = first[name]
            after = first["more"].get(name)
            while after is not None:
                request = PageRequest(1, after)
                part = status_list(name, OWN, make_view(), NOW, request)
                entries += part["entries"]
                after = part["next"]
            assert entries == document()[name]


class TestNoWork:
    """Guards against subjects without work and without a reason."""

    @pytest.mark.parametrize(
        ("instance", "codes"),
        [
            ("portal-1", ["moving"]),
            ("portal-2", ["leaving", "moving"]),
            ("visits-1", ["in-wave"]),
            ("visits-3", ["ejected"]),
            ("visits-4", ["not-owned"]),
        ],
    )
    def test_reasons_of_instances(
        self, instance: str, codes: list[str]
    ) -> None:
        found = no_work_reasons("instance", instance, make_view(), NOW)
        assert found is not None
        assert [reason.code for reason in found] == codes

    def test_reason_of_leaving_endpoint_without_a_pool(self) -> None:
        view = replace(make_view(), statuses={"portal-2": ("", "leaving")})
        found = no_work_reasons("instance", "portal-2", view, NOW)
        assert found and found[0].detail == "endpoint as seen here"

    def test_reasons_of_waiting_and_ended_tasks(self) -> None:
        state = make_state()
        for record in (
            TaskSubmitted("t1", "team", "kind", Resources(1.0), 5.0),
            TaskSubmitted("t2", "team", "kind", Resources(1.0), 5.0),
            TaskRefused("t2", ("no worker is large enough",)),
        ):
            position = LogPosition(state.offset, NOW)
            state = step(state, encode(record, "entry-a/1"), position).state
        view = replace(make_view(), state=state)
        found = [
            no_work_reasons("task", name, view, NOW) or ()
            for name in ("t1", "t2")
        ]
        assert [[reason.code for reason in c] for c in found] == [
            ["waiting", "no-lease"],
            ["ended"],
        ]

    def test_unknown_subject_differs_from_one_with_work(self) -> None:
        view = replace(make_view(), state=make_state())
        assert no_work_reasons("instance", "nobody", view, NOW) is None
        assert no_work_reasons("task", "nobody", view, NOW) is None
