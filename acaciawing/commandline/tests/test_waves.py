"""Tests of the command that starts, stops and resumes maintenance."""

from acaciawing.commandline.main import main
from acaciawing.commandline.report import report
from acaciawing.commandline.waves import WaveCommand, run_wave
from acaciawing.fold import FleetState, step
from acaciawing.leases import Fence, LeaseClaimed
from acaciawing.maintenance import WaveRequested, WaveStopped
from acaciawing.ownership import InstanceAdopted
from acaciawing.platform import CONTROL_STREAM, AppendOutcome
from acaciawing.records import encode
from acaciawing.snapshots.tests.fake_log import FakeLog


class _Clock:
    def __init__(self) -> None:
        self.now = 0.0

    def __call__(self) -> float:
        return self.now

    def sleep(self, seconds: float) -> None:
        self.now += seconds


def make_log() -> FakeLog:
    log = FakeLog()
    claim = LeaseClaimed("pool:portal", "entry-1/1", -1, 10.0)
    log.append(CONTROL_STREAM, encode(claim, "entry-1/1"))
    place = ("zone", "rack", "192.0.2.1:80")
    adopted = InstanceAdopted(
        "portal-1", 1, "portal", *place, 1.0, Fence("pool:portal", 0)
    )
    log.append(CONTROL_STREAM, encode(adopted, "entry-1/1"))
    return log


def run(log: FakeLog, action: str, name: str, pool: str = "portal") -> int:
    clock = _Clock()
    command = WaveCommand(name, pool, action, "ana", at_once=2)
    return report(run_wave(command, log, clock, clock.sleep))[0]


def fold_control_stream(log: FakeLog) -> FleetState:
    state = FleetState()
    for entry in log.entries(CONTROL_STREAM):
        state = step(state, entry.payload, entry.position).state
    return state


class TestWaveCommand:
    """Guards against a command that is lost, repeated or reported wrongly."""

    def test_start_stop_and_resume(self) -> None:
        log = make_log()
        assert run(log, "start", "a") == 0
        requested = fold_control_stream(log).waves.requested["portal"]
        assert requested == WaveRequested("portal", "ana", 2)
        assert run(log, "stop", "b") == 0
        assert fold_control_stream(log).waves.is_stopped("portal")
        assert run(log, "resume", "c") == 0
        assert not fold_control_stream(log).waves.is_stopped("portal")

    def test_refused_command_appends_nothing(self) -> None:
        log = make_log()
        assert run(log, "start", "a", pool="portla") == 1
        assert run(log, "resume", "b") == 1
        assert log.head(CONTROL_STREAM) == 2
        assert run(log, "start", "c") == 0
        assert run(log, "start", "d") == 1
        assert run(log, "stop", "e") == 0
        assert run(log, "stop", "f") == 1

    def test_lost_answer_is_resolved_by_reading_back(self) -> None:
        log = make_log()
        log.lose_answers = 1
        assert run(log, "start", "a") == 0
        assert log.head(CONTROL_STREAM) == 3

    def test_second_operator_loses_the_race(self) -> None:
        log = make_log()
        append = log.append

        def raced(stream: str, payload: bytes) -> AppendOutcome:
            other = WaveStopped("portal", "bor", "heat")
            append(stream, encode(other, "operator-x/0"))
            return append(stream, payload)

        log.append = raced  # type: ignore[method-assign]
        assert run(log, "start", "a") == 4

    def test_unavailable_log_has_its_own_exit_code(self) -> None:
        log = make_log()
        log.unavailable = True
        assert run(log, "start", "a") == 3

    def test_invalid_arguments_are_usage_errors(self) -> None:
        wave = ["wave", "portal", "start", "--author", "ana", "--log"]
        assert main([*wave, "nowhere"]) == 2
        url = "http://127.0.0.1:1"
        assert main([*wave, url, "--at-once", "-1"]) == 2
