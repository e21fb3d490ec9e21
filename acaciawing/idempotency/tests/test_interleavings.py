"""Tests of at-most-once execution over interleavings of faults."""

from collections.abc import Callable

import pytest
from hypothesis import HealthCheck, given, settings
from hypothesis import strategies as st

from acaciawing.idempotency import events as e
from acaciawing.idempotency.tests.baseline import memory_only, zone_owner
from acaciawing.idempotency.tests.model import Model, ended_members_skipped

_Action = Callable[[Model, int, int], None]


def _choose_member(model: Model, number: int) -> str | None:
    running = model.running()
    return running[number % len(running)] if running else None


def _on_member(action: Callable[[Model, str, int], None]) -> _Action:
    def run(model: Model, a: int, b: int) -> None:
        member = _choose_member(model, a)
        if member is not None:
            action(model, member, b)

    return run


def _end_run(model: Model, member: str, b: int) -> None:
    runs = [d for d, r in model.nodes[member].state.runs.items()]
    if runs and b % 3 == 0:
        model.finish(member, runs[b % len(runs)])
    elif runs:
        model.release(member, runs[b % len(runs)])


def _toggle_log(model: Model, member: str, b: int) -> None:
    node = model.nodes[member]
    node.log_reachable = not node.log_reachable
    if b % 2:
        model.read(member)


def _set_log_for_all(model: Model, a: int, b: int) -> None:
    for member in model.running():
        model.nodes[member].log_reachable = a % 2 == 0
        if (b >> "abcd".index(member[0])) & 1:
            model.read(member)


def _deliver(model: Model, a: int, b: int) -> None:
    for _ in range(1 + b % 4):
        if model.network:
            model.deliver(a, keep=b == 7)


def _deliver_many(model: Model, a: int, b: int) -> None:
    for number in range(12):
        if model.network:
            model.deliver(a + b * number)


def _attempt(model: Model, member: str, b: int) -> None:
    _request(model, member, 0)
    _deliver_many(model, b, b)


def _outage(model: Model, a: int, b: int) -> None:
    """Disconnects all members, or all but one, from the log."""
    for number, member in enumerate(model.running()):
        node = model.nodes[member]
        node.log_reachable = number == a
        model.read(member)


def _end_member(model: Model, member: str, b: int) -> None:
    """Ends a member and reports it to the others by the platform's list."""
    model.crash(member)
    for other in model.running():
        model.list_ended(other)
    if b % 2:
        model.replace(member)
        _deliver_many(model, b, b)


def _advance_time(model: Model, a: int, b: int) -> None:
    model.now += (0.01, 0.1, 0.6, 3.0)[a % 4]
    for member in model.running():
        if (b >> "abcd".index(member[0])) & 1 == 0:
            model.tick(member)


def _set_next_append(model: Model, a: int, b: int) -> None:
    model.next_append_outcome = a % 4


def _crash(model: Model, member: str, b: int) -> None:
    if b % 4 == 0:
        model.crash(member)
    elif b % 4 == 1:
        model.replace(member)


def _request(model: Model, member: str, b: int) -> None:
    model.request(member, "kl"[b % 2], model.now + 5.0)


def _drop_message(model: Model, a: int, b: int) -> None:
    if model.network and b % 2:
        model.drop(a)


def _append_delayed(model: Model, a: int, b: int) -> None:
    if model.delayed:
        model.append_delayed(a)


_ACTIONS: dict[str, _Action] = {
    "request": _on_member(lambda m, n, b: _request(m, n, b)),
    "deliver": _deliver,
    "deliver-many": _deliver_many,
    "attempt": _on_member(_attempt),
    "outage": _outage,
    "end-member": _on_member(_end_member),
    "drop": _drop_message,
    "time": _advance_time,
    "read": _on_member(lambda m, n, b: m.read(n)),
    "begin-read": _on_member(lambda m, n, b: m.begin_read(n)),
    "end-read": _on_member(lambda m, n, b: m.end_read(n)),
    "read-some": _on_member(lambda m, n, b: m.read(n, 1 + b % 2)),
    "next-append": _set_next_append,
    "append-delayed": _append_delayed,
    "toggle-log": _on_member(_toggle_log),
    "set-log-for-all": _set_log_for_all,
    "log-unreachable": _on_member(
        lambda m, n, b: m.feed(n, e.LogUnreachable())
    ),
    "end-run": _on_member(_end_run),
    "crash": _on_member(_crash),
    "list": _on_member(lambda m, n, b: m.list_ended(n)),
}
# Attempts and deliveries are frequent, so that agreements complete.
_NAMES = (*_ACTIONS, *("attempt",) * 5, "request", "deliver", "deliver", "read")

_SCRIPTS = st.lists(
    st.tuples(st.sampled_from(_NAMES), st.integers(0, 7), st.integers(0, 7)),
    min_size=10,
    max_size=80,
)


class TestInterleavings:
    """No key may run twice, and no request that ran may be "not run"."""

    @settings(
        derandomize=True,
        max_examples=600,
        deadline=None,
        suppress_health_check=list(HealthCheck),
    )
    @given(st.integers(3, 4), _SCRIPTS)
    def test_no_key_runs_twice(
        self, size: int, script: list[tuple[str, int, int]]
    ) -> None:
        # The model checks this at each run and each "not run".
        model = Model(size)
        for name, a, b in script:
            _ACTIONS[name](model, a, b)
        for node in model.nodes.values():
            node.log_reachable = True
        while model.delayed:
            model.append_delayed(0)
        model.converge()
        for member in model.running():
            model.request(member, "k")
            model.request(member, "l")
        model.converge()


def _disconnect_log(model: Model, *names: str) -> None:
    for name in names:
        model.nodes[name].log_reachable = False
        model.read(name)


def _decision(model: Model, member: str, key: str = "k") -> e.ClaimDecision:
    token = model.request(member, key)
    model.converge()
    return model.decisions.get(token, e.MayHaveRun("no-answer"))


class TestBaselineRules:
    """The model must find the faults of simpler rules."""

    def test_memory_per_instance_runs_a_key_twice(self) -> None:
        model = Model(3, memory_only)
        model.request("a/1", "k")
        with pytest.raises(AssertionError, match="two runs"):
            model.request("b/1", "k")

    def test_replaced_zone_owner_runs_a_key_twice(self) -> None:
        model = Model(2, zone_owner)
        for member in model.nodes:
            model.read(member)
        assert isinstance(_decision(model, "a/1"), e.Run)
        owner = next(m for m, n in model.nodes.items() if n.state.grants)
        model.replace(owner)
        model.converge()
        with pytest.raises(AssertionError, match="two runs"):
            for member in model.running():
                _decision(model, member)

    def test_zone_owners_of_two_zones_run_a_key_twice(self) -> None:
        model = Model(4, zone_owner)
        for member in model.nodes:
            model.read(member)
        _decision(model, "a/1")
        with pytest.raises(AssertionError, match="two runs"):
            _decision(model, "c/1")

    def test_skipping_ended_members_runs_a_key_twice(self) -> None:
        # b claims a key through the log, runs it and ends. a and c lose the log
        # before they have read the claim.
        model = Model(3, ended_members_skipped)
        _disconnect_log(model, "a/1", "c/1")
        assert isinstance(_decision(model, "b/1"), e.Run)
        model.crash("b/1")
        model.list_ended("a/1")
        model.list_ended("c/1")
        with pytest.raises(AssertionError, match="two runs"):
            _decision(model, "a/1")


class TestPaths:
    """The rules must let a key run wherever that is safe."""

    def test_first_claim_runs_and_repeats_do_not(self) -> None:
        model = Model(3)
        assert isinstance(_decision(model, "a/1"), e.Run)
        assert _decision(model, "a/1") == e.InProgress()
        assert _decision(model, "b/1") == e.MayHaveRun("claimed")
        digest = next(iter(model.live))
        model.finish("a/1", digest)
        model.converge()
        assert _decision(model, "b/1") == e.Finished(200)

    def test_different_request_with_the_same_key_is_key_reused(self) -> None:
        model = Model(3)
        _decision(model, "a/1")
        digest = next(iter(model.live))
        claim_requested = e.ClaimRequested(99, "customer", digest, "other", 1e9)
        model.feed("b/1", claim_requested)
        assert model.decisions[99] == e.KeyReused()

    def test_released_key_runs_elsewhere(self) -> None:
        model = Model(3)
        _decision(model, "a/1")
        model.release("a/1", next(iter(model.live)))
        model.converge()
        assert isinstance(_decision(model, "b/1"), e.Run)

    def test_claim_runs_if_the_append_response_is_lost(self) -> None:
        model = Model(3)
        model.next_append_outcome = 1
        assert isinstance(_decision(model, "a/1"), e.Run)

    def test_key_runs_once_by_agreement_if_all_lost_the_log(self) -> None:
        model = Model(4)
        _disconnect_log(model, *model.nodes)
        assert isinstance(_decision(model, "c/1"), e.Run)
        for member in ("a/1", "b/1", "d/1"):
            assert isinstance(_decision(model, member), e.MayHaveRun)

    @pytest.mark.parametrize("reason", ["memory-incomplete", "not-a-member"])
    def test_request_to_a_peer_that_has_just_joined_is_repeated(
        self, reason: str
    ) -> None:
        # Otherwise one joining member turned all claims of that time into
        # `MayHaveRun`.
        model = Model(3)
        _disconnect_log(model, *model.nodes)
        first = model.request("a/1", "k")
        request = model.network[0].request
        model.network.clear()
        members = ("a/1", "b/1", "c/1")
        model.feed(
            "a/1", e.PeerAnswerReceived("b/1", request, e.Granted(members, ()))
        )
        model.feed(
            "a/1", e.PeerAnswerReceived("c/1", request, e.Denied(reason))
        )
        assert first not in model.decisions
        model.tick("a/1")
        assert [m.receiver for m in model.network] == ["c/1"]
        model.deliver(0)
        model.converge()
        assert isinstance(model.decisions[first], e.Run)

    def test_grants_reach_the_log_before_new_claims(self) -> None:
        model = Model(3)
        _disconnect_log(model, *model.nodes)
        _decision(model, "c/1")
        for node in model.nodes.values():
            node.log_reachable = True
        model.crash("c/1")
        model.read("b/1")
        model.converge()
        model.replace("a/1")
        model.list_ended("a/2")
        model.converge()
        assert all(not n.state.grants for n in model.nodes.values() if n.alive)
        assert _decision(model, "a/2") == e.MayHaveRun("claimed")

    def test_end_in_the_batch_of_its_grant_does_not_free_the_key(self) -> None:
        # The end was read before the claim was checked, and the claim was then
        # released as one that never ran.
        model = Model(3)
        _disconnect_log(model, *model.nodes)
        _decision(model, "a/1")
        model.finish("a/1", next(iter(model.live)))
        for node in model.nodes.values():
            node.log_reachable = True
        model.converge()
        assert _decision(model, "a/1") == e.Finished(200)

    def test_claim_of_a_member_that_yielded_stays_in_the_log(self) -> None:
        # c's claim is first in the log, but c yielded to a, which ran the key.
        model = Model(3)
        model.next_append_outcome = 1
        model.request("c/1", "k")
        _disconnect_log(model, *model.nodes)
        model.network.clear()
        assert isinstance(_decision(model, "a/1"), e.Run)
        model.nodes["c/1"].log_reachable = True
        model.converge()
        assert isinstance(_decision(model, "c/1"), e.MayHaveRun)

    def test_consent_of_a_member_that_just_joined_is_requested(self) -> None:
        # Only d reaches the log; the others know d only from its request.
        model = Model(3)
        _disconnect_log(model, *model.nodes)
        model.join("d/1")
        model.converge()
        assert isinstance(_decision(model, "d/1"), e.Run)
        assert isinstance(_decision(model, "a/1"), e.MayHaveRun)
        assert isinstance(_decision(model, "a/1", "new"), e.Run)

    def test_consent_of_a_member_known_only_to_a_peer_is_requested(
        self,
    ) -> None:
        model = Model(3)
        _disconnect_log(model, *model.nodes)
        model.request("a/1", "k")
        request = model.network[0].request
        model.network.clear()
        for peer in ("b/1", "c/1"):
            granted = e.Granted(("a/1", "b/1", "c/1", "d/1"), ())
            model.feed("a/1", e.PeerAnswerReceived(peer, request, granted))
        assert [m.receiver for m in model.network] == ["d/1"]
        assert not model.live

    def test_consent_of_an_ended_member_is_not_required_after_a_read(
        self,
    ) -> None:
        model = Model(3)
        model.crash("b/1")
        for member in ("a/1", "c/1"):
            model.list_ended(member)
        model.converge()
        _disconnect_log(model, "a/1", "c/1")
        assert isinstance(_decision(model, "a/1"), e.Run)

    def test_peers_that_detect_the_outage_by_the_request_grant_it(
        self,
    ) -> None:
        model = Model(3)
        for node in model.nodes.values():
            node.log_reachable = False
        model.read("a/1")
        token = model.request("a/1", "k")
        while model.network:
            model.deliver(0)
        assert isinstance(model.decisions[token], e.Run)

    def test_key_runs_by_agreement_if_the_log_rejects_appends(self) -> None:
        model = Model(3)
        model.writable = False
        for member in model.nodes:
            _decision(model, member, f"probe-{member}")
        token = model.request("a/1", "k")
        while model.network:
            model.deliver(0)
        assert isinstance(model.decisions[token], e.Run)

    def test_silent_peer_blocks_agreement(self) -> None:
        model = Model(3)
        _disconnect_log(model, *model.nodes)
        token = model.request("a/1", "k")
        model.drop(0)
        assert model.decisions[token] == e.MayHaveRun("peer-silent")

    def test_peer_with_a_log_appends_the_claim_for_the_sender(self) -> None:
        model = Model(3)
        _disconnect_log(model, "a/1", "b/1")
        token = model.request("a/1", "k")
        model.deliver(1)
        model.converge()
        assert isinstance(model.decisions[token], e.Run)
        holder = model.nodes["c/1"].state.table.holders
        assert [h.claim.owner for h in holder.values()] == ["a/1"]

    def test_lower_id_wins_of_two_concurrent_claims(self) -> None:
        model = Model(3)
        _disconnect_log(model, *model.nodes)
        late = model.request("c/1", "k")
        first = model.request("a/1", "k")
        index = next(
            i
            for i, m in enumerate(model.network)
            if (m.sender, m.receiver) == ("a/1", "c/1")
        )
        model.deliver(index)
        assert model.decisions[late] == e.MayHaveRun("yielded")
        while model.network:
            model.deliver(len(model.network) - 1)
        assert isinstance(model.decisions[first], e.Run)

    def test_instance_off_the_roster_accepts_no_keyed_requests(self) -> None:
        model = Model(3)
        _decision(model, "a/1", "other")
        model.feed("b/1", e.RosterRead(frozenset(("a/1", "c/1")), frozenset()))
        assert _decision(model, "b/1") == e.MayHaveRun("not-on-roster")

    def test_no_keyed_requests_if_no_member_knows_the_last_outage(self) -> None:
        model = Model(1)
        _disconnect_log(model, "a/1")
        assert isinstance(_decision(model, "a/1"), e.Run)
        model.replace("a/1")
        model.converge()
        assert _decision(model, "a/2") == e.MayHaveRun("memory-incomplete")

    def test_replacement_knows_the_grants_of_an_outage(self) -> None:
        model = Model(3)
        _disconnect_log(model, *model.nodes)
        _decision(model, "c/1")
        model.replace("c/1")
        model.converge()
        assert model.nodes["c/2"].state.complete
        assert isinstance(_decision(model, "c/2"), e.MayHaveRun)
        assert isinstance(_decision(model, "c/2", "new"), e.Run)
