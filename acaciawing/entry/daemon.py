"""The entry daemon: starts the tasks, recovers, serves and drains."""

import signal
import threading
import time
from collections.abc import Iterator, Mapping

from acaciawing.configuration import (
    ConfigurationIndex,
    EntrySettings,
    index,
    split_address,
)
from acaciawing.entry.administration import Administration
from acaciawing.entry.callers import Callers, Directory
from acaciawing.entry.dispatcher import Dispatcher
from acaciawing.entry.engine import Engine
from acaciawing.entry.framing import make_server
from acaciawing.entry.messages import ListingSeen, StateChanged, Stop
from acaciawing.entry.observers import ListObserver, LogObserver, ReadResult
from acaciawing.entry.peers import PeerClient
from acaciawing.entry.recorder import Decision, Recorder
from acaciawing.entry.scheduler import Scheduler
from acaciawing.fold import FleetState
from acaciawing.outcomes import Ignored
from acaciawing.platform import (
    ListClient,
    Listing,
    ListUnavailable,
    LogClient,
)
from acaciawing.telemetry import Event, configure_logs, log_event

# Time for the balancer to see that the instance is not ready before its
# listener closes.
_LINGER_S = 1.0
_DRAIN_LIMIT_S = 30.0


class Daemon:
    """One entry instance.

    Args:
        settings: Its settings.
    """

    def __init__(self, settings: EntrySettings) -> None:
        """Builds the tasks; `run` starts them."""
        self._settings = settings
        self._directory = Directory(ConfigurationIndex())
        self._recorder = Recorder()
        engine = Engine(
            settings.instance,
            settings.zone,
            settings.threads * 3 // 4,
            self._record_routing,
        )
        self._scheduler = Scheduler(engine)
        dispatcher = Dispatcher(self._scheduler, self._recorder)
        self._callers = Callers(settings.instance, self._directory, dispatcher)
        self._administration = Administration(
            settings, self._directory, self._scheduler, self._recorder
        )
        self._peer_client = PeerClient(settings.peer_credential)
        self._log_observer = LogObserver(
            LogClient(settings.log), self._ask_states, self._log_read
        )
        self._list_observer = ListObserver(
            ListClient(settings.list), self._list_read
        )
        self._log_up = True
        self._list_up = True
        self._listing: Listing | None = None
        self._version = -1
        self._state: FleetState | None = None
        self._terminate = threading.Event()

    def run(self) -> None:
        """Serves until SIGTERM or SIGINT, then drains."""
        for number in (signal.SIGTERM, signal.SIGINT):
            signal.signal(number, lambda *_: self._terminate.set())
        settings = self._settings
        self._recorder.start()
        self._scheduler.start()
        callers = make_server(
            split_address(settings.listen), self._callers, settings.threads
        )
        administration = make_server(
            split_address(settings.administration), self._administration, 8
        )
        servers = []
        for server in (callers, administration):
            server.prepare()
            thread = threading.Thread(target=server.serve, daemon=True)
            thread.start()
            servers.append((server, thread))
        log_event(Event.ENTRY_STARTED, {"listen": settings.listen})
        self._log_observer.start()
        self._list_observer.start()
        self._terminate.wait()
        self._drain()
        callers.shutdown_timeout = _DRAIN_LIMIT_S
        for server, _ in servers:
            server.stop()
        self._log_observer.stop()
        self._list_observer.stop()
        self._scheduler.post(Stop())
        log_event(Event.ENTRY_STOPPED, {})
        self._recorder.stop()

    def _record_routing(
        self, request: str, event: Event, reasons: Mapping[str, object]
    ) -> None:
        self._recorder.post(
            Decision("request", request, time.time(), event, dict(reasons))
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

    def _log_read(self, result: ReadResult) -> None:
        self._report_log(result)
        for step in result.steps:
            if isinstance(step.verdict, Ignored):
                log_event(
                    Event.RECORD_IGNORED,
                    {
                        "reason": step.verdict.reason,
                        "detail": step.verdict.detail,
                        "writer": step.writer,
                    },
                )
        if result.state is not self._state:
            self._state = result.state
            self._adopt_state(result.state)
        if (result.caught_up or result.usable) and self._version >= 0:
            self._become_ready()

    def _ask_states(self) -> Iterator[FleetState]:
        """States of the peers; the first few that answer are enough."""
        for peer in self._settings.peers:
            state = self._peer_client.state(peer.address)
            if state is not None:
                yield state

    def _report_log(self, result: ReadResult) -> None:
        up = not result.problem
        if up != self._log_up:
            event = Event.LOG_AVAILABLE if up else Event.LOG_UNAVAILABLE
            log_event(event, {"detail": result.problem})
        self._log_up = up

    def _adopt_state(self, state: FleetState) -> None:
        self._scheduler.post(StateChanged(state))
        version = state.configuration.version
        if version <= self._version:
            return
        self._version = version
        self._directory.index = index(state.configuration.configuration)
        log_event(
            Event.CONFIGURATION_IN_FORCE,
            {
                "version": version,
                "age_s": round(
                    time.time() - state.configuration.accepted_at, 3
                ),
            },
        )

    def _become_ready(self) -> None:
        if not self._directory.ready:
            self._directory.ready = True
            log_event(Event.ENTRY_READY, {"version": self._version})

    def _list_read(self, outcome: Listing | ListUnavailable) -> None:
        up = isinstance(outcome, Listing)
        if isinstance(outcome, Listing):
            if outcome is not self._listing:
                self._listing = outcome
                self._scheduler.post(ListingSeen(outcome))
        elif self._list_up:
            log_event(Event.LIST_UNAVAILABLE, {"detail": outcome.detail})
        self._list_up = up


def run(settings: EntrySettings) -> None:
    """Runs one entry instance until it is told to stop.

    Args:
        settings: Its settings.
    """
    configure_logs(
        settings.log_format, entry=settings.instance, entry_zone=settings.zone
    )
    Daemon(settings).run()
