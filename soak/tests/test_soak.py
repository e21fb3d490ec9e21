"""A short seeded run of the soak, and tests of its checks."""

from soak.checks import JobStory, broken_promises
from soak.play import Size, play
from standins.job_worker import EndedRun, JobWorker

_SEEDS = (1, 2)


class TestSoak:
    """Guards against promises that break when faults overlap."""

    def test_promises_hold(self) -> None:
        for seed in _SEEDS:
            result = play(seed, Size(2, 3, 2, 4.0))
            assert result.accepted, result
            assert not result.broken, result


class TestChecks:
    """Guards against a soak that sees nothing."""

    def test_two_runs_at_the_same_time(self) -> None:
        first, second = JobWorker(), JobWorker()
        first.ended_runs.append(EndedRun("j.0.0.0", 1.0, 2.0, "done", 1))
        second.ended_runs.append(EndedRun("j.0.0.0", 1.5, 2.5, "lapsed", 1))
        stories = {"j": JobStory([200], ["completed"])}
        assert broken_promises(stories, [first, second]) == [
            "j.0.0.0: two runs at the same time"
        ]

    def test_a_start_after_an_end_that_was_noted(self) -> None:
        worker = JobWorker()
        worker.ended_runs.append(EndedRun("j.0.0.0", 1.0, 2.0, "done", 1))
        worker.ended_runs.append(EndedRun("j.0.0.0", 3.0, 4.0, "done", 2))
        worker.acknowledged.add(("j.0.0.0", 1))
        stories = {"j": JobStory([200], ["completed"])}
        assert broken_promises(stories, [worker]) == [
            "j.0.0.0: started after an end that was noted"
        ]

    def test_a_refused_job_that_has_run(self) -> None:
        worker = JobWorker()
        worker.ended_runs.append(EndedRun("j.0.0.0", 1.0, 2.0, "done", 1))
        found = broken_promises({"j": JobStory([503, 503])}, [worker])
        assert found == ["j: refused as not run, and has run"]

    def test_an_accepted_job_that_is_not_known(self) -> None:
        stories = {"j": JobStory([200], ["running", "gone", "completed"])}
        assert broken_promises(stories, []) == [
            "j: accepted, and later not known"
        ]
