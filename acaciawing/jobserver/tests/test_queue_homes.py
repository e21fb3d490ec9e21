"""Tests of the partitions that have the submissions of queues."""

import threading
from collections.abc import Iterator
from queue import SimpleQueue

import msgspec
import pytest

from acaciawing.jobs import (
    JobSubmitted,
    Queue,
    SubmissionSource,
    decode_record,
    encode_record,
)
from acaciawing.jobs.tests.builders import make_job
from acaciawing.jobserver.cell_log import JOBS_TOPIC, CellReader, jobs_topic
from acaciawing.jobserver.clock import steady_s
from acaciawing.jobserver.home_records import HOMES_TOPIC, QueueHome
from acaciawing.jobserver.membership import StoreContact, cell_of
from acaciawing.jobserver.messages import (
    CellKey,
    Message,
    RecordsCaughtUp,
    RecordsRead,
)
from acaciawing.jobserver.queue_homes import QueueHomes
from acaciawing.platform.store import (
    RecordBatch,
    Store,
    StoreUnavailable,
    encode_keyed_record,
)
from standins.job_store import JobStore
from standins.server import serving

_PARTITIONS = 8
_VISITS = Queue("next-visit", "h", "/next/", "visits")
_ROUTING = msgspec.structs.replace(_VISITS, service="routing")
_CELL, _OTHER_CELL = (cell_of(s, _PARTITIONS) for s in ("visits", "routing"))


@pytest.fixture
def store() -> JobStore:
    return JobStore(_PARTITIONS)


@pytest.fixture
def address(store: JobStore) -> Iterator[str]:
    with serving(store.handle, threads=24) as found:
        yield found


def _make_homes(address: str) -> QueueHomes:
    contact = StoreContact()
    contact.record_answer(steady_s())
    return QueueHomes(address, contact, _PARTITIONS)


def _assign(homes: QueueHomes, queue: Queue) -> QueueHome:
    home = homes.assign(queue, steady_s() + 20.0)
    assert isinstance(home, QueueHome)
    return home


class TestHome:
    """Guards against jobs that are looked for beside their submissions."""

    def test_home_of_a_queue_stays_when_it_moves(self, address: str) -> None:
        assert _assign(_make_homes(address), _VISITS).partition == _CELL
        moved = _assign(_make_homes(address), _ROUTING)
        assert moved.partition == _CELL != _OTHER_CELL
        assert moved.services == ("visits", "routing")

    def test_instances_with_different_configurations_agree(
        self, address: str
    ) -> None:
        queues = [_VISITS, _ROUTING] * 4
        found: list[QueueHome] = []
        threads = [
            threading.Thread(
                target=lambda q=queue: found.append(
                    _assign(_make_homes(address), q)
                )
            )
            for queue in queues
        ]
        for thread in threads:
            thread.start()
        for thread in threads:
            thread.join()
        assert len(found) == len(queues)
        assert len({home.partition for home in found}) == 1

    def test_cell_is_told_before_it_gets_jobs_from_elsewhere(
        self, store: JobStore, address: str
    ) -> None:
        _assign(_make_homes(address), _VISITS)
        _assign(_make_homes(address), _ROUTING)
        batch = Store(address).read(JOBS_TOPIC, _OTHER_CELL, 0, 0)
        assert isinstance(batch, RecordBatch)
        assert [decode_record(r) for r in batch.records] == [
            SubmissionSource(_CELL)
        ]
        appends = [call for call in store.calls if "append" in call]
        assert appends[-2:] == [
            f"/v1/log-append {JOBS_TOPIC}",
            f"/v1/log-append {HOMES_TOPIC}",
        ]

    def test_known_home_costs_no_call(
        self, store: JobStore, address: str
    ) -> None:
        homes = _make_homes(address)
        _assign(homes, _VISITS)
        calls = len(store.calls)
        _assign(homes, _VISITS)
        assert len(store.calls) == calls

    def test_unavailable_store_is_no_proof_that_a_queue_has_no_jobs(
        self, store: JobStore, address: str
    ) -> None:
        homes = _make_homes(address)
        assert homes.find(_VISITS, 0.0) is None
        _assign(_make_homes(address), _VISITS)
        assert isinstance(homes.find(_VISITS, 0.0), QueueHome)
        store.unavailable = True
        assert isinstance(homes.find(_VISITS, 0.0), StoreUnavailable)
        assert isinstance(
            homes.assign(_ROUTING, steady_s() + 5), StoreUnavailable
        )

    def test_lost_store_is_not_waited_for(
        self, store: JobStore, address: str
    ) -> None:
        contact = StoreContact()
        homes = QueueHomes(address, contact, _PARTITIONS)
        contact.record_answer(steady_s() - 60.0)
        calls = len(store.calls)
        assert isinstance(homes.find(_VISITS, 0.0), StoreUnavailable)
        assert len(store.calls) == calls

    def test_unreadable_home_hides_no_other(
        self, store: JobStore, address: str
    ) -> None:
        store.append(HOMES_TOPIC, 0, [encode_keyed_record("x", b"\xc1")])
        _assign(_make_homes(address), _VISITS)
        assert isinstance(_make_homes(address).find(_VISITS, 0.0), QueueHome)


class TestSources:
    """Guards against a holder that doesn't read all its cell's submissions."""

    _JOB = msgspec.structs.replace(
        make_job("00000000000000a1"), accepted_by=_ROUTING
    )

    def _read(
        self, store: JobStore, address: str, *, moves_later: bool
    ) -> list[Message]:
        """Reads records until the job of another partition is among them."""
        received: SimpleQueue[Message] = SimpleQueue()
        reader = CellReader(
            CellKey(_OTHER_CELL, 7),
            address,
            received.put,
            lambda service: service == "routing",
        )
        messages: list[Message] = []
        if moves_later:
            reader.start()
            while not any(isinstance(m, RecordsCaughtUp) for m in messages):
                messages.append(received.get(timeout=20))
        homes = _make_homes(address)
        _assign(homes, _VISITS)
        home = _assign(homes, _ROUTING)
        record = encode_record(JobSubmitted(self._JOB, 0))
        store.append(jobs_topic(self._JOB.id), home.partition, [record])
        if not moves_later:
            reader.start()
        while not any(
            JobSubmitted(self._JOB, 0) in m.records
            for m in messages
            if isinstance(m, RecordsRead)
        ):
            messages.append(received.get(timeout=20))
        reader.close()
        return messages

    def test_holder_reads_a_queue_that_moves_to_its_cell(
        self, store: JobStore, address: str
    ) -> None:
        self._read(store, address, moves_later=True)

    def test_next_holder_reads_the_queue_before_it_is_caught_up(
        self, store: JobStore, address: str
    ) -> None:
        messages = self._read(store, address, moves_later=False)
        assert not any(isinstance(m, RecordsCaughtUp) for m in messages)

    def test_jobs_of_earlier_releases_stay_in_their_partition(
        self, store: JobStore, address: str
    ) -> None:
        old = JobSubmitted(make_job("00000000000000a2"), 0)
        store.append(jobs_topic(old.job.id), _CELL, [encode_record(old)])
        messages = self._read(store, address, moves_later=False)
        read = [m for m in messages if isinstance(m, RecordsRead)]
        assert not any(old in m.records for m in read)
