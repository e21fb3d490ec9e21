"""The entry daemon: starts the tasks, recovers, serves and drains."""

import signal
import threading
import time
from collections.abc import Iterator, Mapping
from random import Random
from typing import Any

from acaciawing.configuration import (
    ConfigurationIndex,
    EntrySettings,
    split_address,
)
from acaciawing.control import ControlTask, LiveInstancesChanged
from acaciawing.entry.administration import Administration, Sources
from acaciawing.entry.caller_application import CallerApplication, ServingState
from acaciawing.entry.configuration_publisher import Publisher
from acaciawing.entry.decision_recorder import Decision, DecisionRecorder
from acaciawing.entry.demand import DEMAND_PATH, DemandTask
from acaciawing.entry.dispatcher import Dispatcher
from acaciawing.entry.engine import Engine
from acaciawing.entry.forwarding import Forwarder, serve_forwarded
from acaciawing.entry.framing import make_server
from acaciawing.entry.gossip import GossipTask, Listeners
from acaciawing.entry.instance_records import InstanceRecordWriter
from acaciawing.entry.keyed_requests import KeyedRequests
from acaciawing.entry.messages import Stop
from acaciawing.entry.metric_values import ProcessCounts
from acaciawing.entry.observers import ListObserver, LogObserver
from acaciawing.entry.peers import PeerClient
from acaciawing.entry.scheduler import Scheduler
from acaciawing.entry.task_requests import TaskRequests
from acaciawing.entry.update_distributor import DaemonTasks, UpdateDistributor
from acaciawing.exchange import Exchanger
from acaciawing.fold import FleetState
from acaciawing.idempotency.task import ClaimTask
from acaciawing.lending import LENDING_SUBJECT
from acaciawing.membership import EntryJoined
from acaciawing.platform import ListClient, LogClient, WorkerClient
from acaciawing.telemetry import Event, configure_logs, log_event

# Time for the load balancer to notice that the instance is not ready, before
# its listener closes.
_MIN_DRAIN_S = 1.0
_MAX_DRAIN_S = 30.0
# Time-out of each step after the last request: flushing claims, leaving the
# roster, and waiting for peers to read that.
_SHUTDOWN_STEP_TIMEOUT_S = 2.0
_ADMINISTRATION_THREADS = 12


class Daemon:
    """One entry instance.

    Args:
        settings: Its settings.
    """

    def __init__(self, settings: EntrySettings) -> None:
        """Builds the tasks; `run` starts them."""
        self._settings = settings
        # Instances have no disk, so the start time in milliseconds serves as
        # the incarnation.
        self._member = EntryJoined(
            settings.instance,
            time.time_ns() // 1_000_000,
            settings.zone,
            settings.administration,
        )
        self._serving_state = ServingState(ConfigurationIndex())
        self._peers = PeerClient(settings.peer_credential)
        self._recorder = DecisionRecorder()
        self._scheduler = Scheduler(
            Engine(
                settings.instance,
                settings.zone,
                # A queue may occupy at most three quarters of the threads.
                settings.threads * 3 // 4,
                self._record_routing,
            )
        )
        self._tasks = self._make_tasks()
        self._distributor = UpdateDistributor(
            self._member, self._serving_state, self._tasks, self._recorder
        )
        self._log_observer = LogObserver(
            LogClient(settings.log),
            self._request_peer_states,
            self._distributor.handle_log_result,
            self._distributor.record_step,
        )
        self._list_observer = ListObserver(
            ListClient(settings.list), self._distributor.handle_list_result
        )
        self._terminate = threading.Event()

    def _make_tasks(self) -> DaemonTasks:
        settings = self._settings
        writer = f"{self._member.instance}/{self._member.incarnation}"
        claims = ClaimTask(
            LogClient(settings.log),
            self._request_claim,
            member=writer,
            address=settings.administration,
            clock=time.monotonic,
            retention_s=settings.claim_retention,
            accept_memory_loss=settings.accept_memory_loss,
        )
        record_writer = InstanceRecordWriter(
            self._member,
            LogClient(settings.log),
            lambda: self._scheduler.view().plans,
            self._read_log_now,
            time.monotonic,
        )
        control = ControlTask(
            writer,
            LogClient(settings.log),
            WorkerClient(settings.list),
            self._read_log_now,
            settings.move_cost,
        )
        demand = DemandTask(
            settings.instance,
            lambda: control.holds_lease(LENDING_SUBJECT),
            lambda: self._scheduler.view().demand_by_pool,
            self._request_demand,
            control.post,
        )

        def update_live(live: tuple[str, ...]) -> None:
            control.post(LiveInstancesChanged(live))
            demand.set_live(live)

        gossip = GossipTask(
            self._member,
            {p.instance: (p.zone, p.address) for p in settings.peers},
            self._peers.send,
            lambda: self._scheduler.view(sample_demand=True),
            Listeners(
                self._scheduler.post,
                self._scheduler.post,
                update_live,
                self._mark_peer_ahead,
            ),
            time.monotonic,
            Random(),
        )
        return DaemonTasks(
            self._scheduler, claims, record_writer, control, gossip, demand
        )

    def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then drains."""
        for signal_number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(signal_number, lambda *_: self._terminate.set())
        self._recorder.start()
        self._scheduler.start()
        caller_server, administration_server = self._make_servers()
        for server in (caller_server, administration_server):
            server.prepare()
            threading.Thread(target=server.serve, daemon=True).start()
        log_event(Event.ENTRY_STARTED, {"listen": self._settings.listen})
        self._tasks.record_writer.start()
        self._tasks.control.start()
        self._tasks.demand.start()
        self._log_observer.start()
        self._list_observer.start()
        self._tasks.gossip.start()
        self._terminate.wait()
        self._drain()
        caller_server.shutdown_timeout = _MAX_DRAIN_S
        caller_server.stop()
        self._leave_fleet()
        administration_server.stop()
        log_event(Event.ENTRY_STOPPED, {})
        self._recorder.stop()

    def _make_servers(self) -> tuple[Any, Any]:
        settings = self._settings
        forwarder = Forwarder(
            settings.zone,
            settings.peer_credential,
            Exchanger(),
            self._distributor.other_members,
        )
        keyed_requests = KeyedRequests(self._tasks.claims, forwarder.forward)
        dispatcher = Dispatcher(self._scheduler, self._recorder, keyed_requests)
        caller_application = CallerApplication(
            settings.instance, self._serving_state, dispatcher
        )
        self._caller_application = caller_application
        administration = Administration(
            settings,
            Sources(
                self._serving_state,
                self._scheduler,
                self._recorder,
                Publisher(LogClient(settings.log)),
                TaskRequests(LogClient(settings.log)),
                lambda: self._distributor.log_up,
                lambda: ProcessCounts(
                    self._distributor.record_counts,
                    keyed_requests.decision_counts,
                ),
                self._distributor.log_now,
            ),
            {
                "claims": self._tasks.claims.answer_peer,
                "gossip": self._tasks.gossip.answer_peer,
                "demand": self._tasks.demand.answer_peer,
                "serve": lambda payload: serve_forwarded(
                    payload, self._serving_state.index, dispatcher.serve
                ),
            },
        )
        return (
            make_server(
                split_address(settings.listen),
                caller_application,
                settings.threads,
            ),
            make_server(
                split_address(settings.administration),
                administration,
                _ADMINISTRATION_THREADS,
            ),
        )

    def _drain(self) -> None:
        """Reports not ready, then waits for the requests in flight."""
        self._serving_state.draining = True
        log_event(
            Event.ENTRY_DRAINING,
            {"in_flight": self._caller_application.in_flight},
        )
        started_at = time.monotonic()
        pause = threading.Event()
        while True:
            waited = time.monotonic() - started_at
            if waited > _MAX_DRAIN_S:
                return
            if (
                waited > _MIN_DRAIN_S
                and self._caller_application.in_flight == 0
            ):
                return
            pause.wait(0.05)

    def _leave_fleet(self) -> None:
        """Releases leases, flushes claims and leaves the roster."""
        self._tasks.demand.stop()
        self._tasks.control.stop()
        self._tasks.gossip.stop()
        pause = threading.Event()
        until = time.monotonic() + _SHUTDOWN_STEP_TIMEOUT_S
        while not self._tasks.claims.flushed and time.monotonic() < until:
            pause.wait(0.05)
        if self._tasks.claims.flushed:
            self._tasks.record_writer.stop()
            self._tasks.record_writer.join(_SHUTDOWN_STEP_TIMEOUT_S)
        # Peers read the log twice a second. If the log becomes unavailable
        # before all have read the claims and the leave of this instance, only
        # this process can answer for them, so it stays for some seconds.
        pause.wait(_SHUTDOWN_STEP_TIMEOUT_S)
        self._tasks.control.join(_SHUTDOWN_STEP_TIMEOUT_S)
        self._log_observer.stop()
        self._list_observer.stop()
        self._tasks.claims.stop()
        self._scheduler.post(Stop())

    def _record_routing(
        self, request: str, event: Event, reasons: Mapping[str, object]
    ) -> None:
        self._recorder.post(
            Decision("request", request, time.time(), event, dict(reasons))
        )

    def _read_log_now(self) -> None:
        self._log_observer.read_now()

    def _mark_peer_ahead(self) -> None:
        self._log_observer.mark_peer_ahead()

    def _request_peer_states(self) -> Iterator[FleetState]:
        """Yields the states of the peers that answer."""
        for peer in self._settings.peers:
            state = self._peers.state(peer.address)
            if state is not None:
                yield state

    def _request_demand(self, instance: str) -> bytes | None:
        address = self._distributor.address_of(instance)
        if not address:
            return None
        return self._peers.send(address, DEMAND_PATH, b"{}")

    def _request_claim(
        self, instance: str, address: str, payload: bytes
    ) -> bytes | None:
        known = {peer.instance: peer.address for peer in self._settings.peers}
        target = address or known.get(instance, "")
        if not target:
            return None
        return self._peers.send(target, "/v1/peer/claims", payload)


def run(settings: EntrySettings) -> None:
    """Runs one entry instance until SIGTERM or SIGINT.

    Args:
        settings: Its settings.
    """
    configure_logs(
        settings.log_format, entry=settings.instance, entry_zone=settings.zone
    )
    Daemon(settings).run()
