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
from acaciawing.entry.callers import Callers, Directory
from acaciawing.entry.configuring import Publisher
from acaciawing.entry.demand import DEMAND_PATH, DemandTask
from acaciawing.entry.dispatcher import Dispatcher
from acaciawing.entry.distribution import Distribution, Tasks
from acaciawing.entry.engine import Engine
from acaciawing.entry.forwarding import Forwarder, serve_forwarded
from acaciawing.entry.framing import make_server
from acaciawing.entry.gossip import GossipTask, Listeners
from acaciawing.entry.journal import Journal
from acaciawing.entry.keyed import Claims
from acaciawing.entry.messages import Stop
from acaciawing.entry.observers import ListObserver, LogObserver
from acaciawing.entry.peers import PeerClient
from acaciawing.entry.readings import Tallies
from acaciawing.entry.recorder import Decision, Recorder
from acaciawing.entry.scheduler import Scheduler
from acaciawing.entry.tasking import TaskDesk
from acaciawing.exchange import Exchanger
from acaciawing.fold import FleetState
from acaciawing.idempotency.task import ClaimTask
from acaciawing.lending import LENDING_SUBJECT
from acaciawing.membership import EntryJoined
from acaciawing.platform import ListClient, LogClient, WorkerClient
from acaciawing.telemetry import Event, configure_logs, log_event

# Time for the balancer to see that the instance is not ready before its
# listener closes.
_LINGER_S = 1.0
_DRAIN_LIMIT_S = 30.0
# Time to flush claims and to leave the roster after the last request.
_FAREWELL_S = 2.0
_ADMINISTRATION_THREADS = 12


class Daemon:
    """One entry instance.

    Args:
        settings: Its settings.
    """

    def __init__(self, settings: EntrySettings) -> None:
        """Builds the tasks; `run` starts them."""
        self._settings = settings
        # Instances have no disk; the time of the start tells incarnations
        # apart, in milliseconds.
        self._member = EntryJoined(
            settings.instance,
            time.time_ns() // 1_000_000,
            settings.zone,
            settings.administration,
        )
        self._directory = Directory(ConfigurationIndex())
        self._peers = PeerClient(settings.peer_credential)
        self._recorder = Recorder()
        self._scheduler = Scheduler(
            Engine(
                settings.instance,
                settings.zone,
                settings.threads * 3 // 4,
                self._record_routing,
            )
        )
        self._tasks = self._make_tasks()
        self._distribution = Distribution(
            self._member, self._directory, self._tasks, self._recorder
        )
        self._log_observer = LogObserver(
            LogClient(settings.log),
            self._ask_states,
            self._distribution.log_read,
            self._distribution.keep,
        )
        self._list_observer = ListObserver(
            ListClient(settings.list), self._distribution.list_read
        )
        self._terminate = threading.Event()

    def _make_tasks(self) -> Tasks:
        settings = self._settings
        writer = f"{self._member.instance}/{self._member.incarnation}"
        claims = ClaimTask(
            LogClient(settings.log),
            self._ask_claim,
            member=writer,
            address=settings.administration,
            clock=time.monotonic,
            retention_s=settings.claim_retention,
            accept_memory_loss=settings.accept_memory_loss,
        )
        journal = Journal(
            self._member,
            LogClient(settings.log),
            lambda: self._scheduler.view().plans,
            self._poke,
            time.monotonic,
        )
        control = ControlTask(
            writer,
            LogClient(settings.log),
            WorkerClient(settings.list),
            self._poke,
            settings.move_cost,
        )
        demand = DemandTask(
            settings.instance,
            lambda: control.holds_lease(LENDING_SUBJECT),
            lambda: self._scheduler.view().demand_by_pool,
            self._ask_demand,
            control.post,
        )

        def tell_live(live: tuple[str, ...]) -> None:
            control.post(LiveInstancesChanged(live))
            demand.set_live(live)

        gossip = GossipTask(
            self._member,
            {p.instance: (p.zone, p.address) for p in settings.peers},
            self._peers.send,
            lambda: self._scheduler.view(close_step=True),
            Listeners(
                self._scheduler.post,
                self._scheduler.post,
                tell_live,
                self._fall_behind,
            ),
            time.monotonic,
            Random(),
        )
        return Tasks(self._scheduler, claims, journal, control, gossip, demand)

    def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then drains."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self._terminate.set())
        self._recorder.start()
        self._scheduler.start()
        callers, administration = self._make_servers()
        for server in (callers, administration):
            server.prepare()
            threading.Thread(target=server.serve, daemon=True).start()
        log_event(Event.ENTRY_STARTED, {"listen": self._settings.listen})
        self._tasks.journal.start()
        self._tasks.control.start()
        self._tasks.demand.start()
        self._log_observer.start()
        self._list_observer.start()
        self._tasks.gossip.start()
        self._terminate.wait()
        self._drain()
        callers.shutdown_timeout = _DRAIN_LIMIT_S
        callers.stop()
        self._leave()
        administration.stop()
        log_event(Event.ENTRY_STOPPED, {})
        self._recorder.stop()

    def _make_servers(self) -> tuple[Any, Any]:
        settings = self._settings
        forwarder = Forwarder(
            settings.zone,
            settings.peer_credential,
            Exchanger(),
            self._distribution.other_members,
        )
        claims = Claims(self._tasks.claims, forwarder.forward)
        dispatcher = Dispatcher(self._scheduler, self._recorder, claims)
        callers = Callers(settings.instance, self._directory, dispatcher)
        self._callers = callers
        administration = Administration(
            settings,
            Sources(
                self._directory,
                self._scheduler,
                self._recorder,
                Publisher(LogClient(settings.log)),
                TaskDesk(LogClient(settings.log)),
                lambda: self._distribution.log_up,
                lambda: Tallies(self._distribution.verdicts, claims.decided),
                self._distribution.log_now,
            ),
            {
                "claims": self._tasks.claims.answer_peer,
                "gossip": self._tasks.gossip.answer_peer,
                "demand": self._tasks.demand.answer_peer,
                "serve": lambda payload: serve_forwarded(
                    payload, self._directory.index, dispatcher.serve
                ),
            },
        )
        return (
            make_server(
                split_address(settings.listen), callers, settings.threads
            ),
            make_server(
                split_address(settings.administration),
                administration,
                _ADMINISTRATION_THREADS,
            ),
        )

    def _drain(self) -> None:
        """Stops being ready, then waits for the requests in flight."""
        self._directory.draining = True
        log_event(Event.ENTRY_DRAINING, {"in_flight": self._callers.in_flight})
        begun = time.monotonic()
        pause = threading.Event()
        while True:
            waited = time.monotonic() - begun
            if waited > _DRAIN_LIMIT_S:
                return
            if waited > _LINGER_S and self._callers.in_flight == 0:
                return
            pause.wait(0.05)

    def _leave(self) -> None:
        """Releases leases, flushes claims and leaves the roster."""
        self._tasks.demand.stop()
        self._tasks.control.stop()
        self._tasks.gossip.stop()
        pause = threading.Event()
        until = time.monotonic() + _FAREWELL_S
        while not self._tasks.claims.flushed and time.monotonic() < until:
            pause.wait(0.05)
        if self._tasks.claims.flushed:
            self._tasks.journal.stop()
            self._tasks.journal.join(_FAREWELL_S)
        # Peers read the log twice a second. Until all have read that this
        # instance left and what it claimed, only itself can say so if the log
        # goes away now.
        pause.wait(_FAREWELL_S)
        self._tasks.control.join(_FAREWELL_S)
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

    def _poke(self) -> None:
        self._log_observer.poke()

    def _fall_behind(self) -> None:
        self._log_observer.fall_behind()

    def _ask_states(self) -> Iterator[FleetState]:
        """States of the peers that answer."""
        for peer in self._settings.peers:
            state = self._peers.state(peer.address)
            if state is not None:
                yield state

    def _ask_demand(self, instance: str) -> bytes | None:
        address = self._distribution.address_of(instance)
        if not address:
            return None
        return self._peers.send(address, DEMAND_PATH, b"{}")

    def _ask_claim(
        self, instance: str, address: str, payload: bytes
    ) -> bytes | None:
        known = {peer.instance: peer.address for peer in self._settings.peers}
        target = address or known.get(instance, "")
        if not target:
            return None
        return self._peers.send(target, "/v1/peer/claims", payload)


def run(settings: EntrySettings) -> None:
    """Runs one entry instance until it is told to stop.

    Args:
        settings: Its settings.
    """
    configure_logs(
        settings.log_format, entry=settings.instance, entry_zone=settings.zone
    )
    Daemon(settings).run()
