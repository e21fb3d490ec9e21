"""Process of the job server, one on every entry instance."""

import json
import os
import random
import signal
import sys
import threading
from concurrent.futures import Future
from concurrent.futures import TimeoutError as FutureTimeoutError

from acaciawing.jobs.retention import max_submission_bytes
from acaciawing.jobserver.advice_task import AdviceTask
from acaciawing.jobserver.appender import Appender
from acaciawing.jobserver.client_api import ClientApi
from acaciawing.jobserver.clock import steady_s
from acaciawing.jobserver.engine import Engine
from acaciawing.jobserver.fleet_task import FleetTask
from acaciawing.jobserver.keyed_topics import (
    ConfigurationFollower,
    WorkerListFollower,
)
from acaciawing.jobserver.limits import (
    CLIENT_THREADS,
    MIN_HOLDER_CORES,
    MIN_HOLDER_LINK_MBPS,
    PEER_THREADS,
)
from acaciawing.jobserver.listeners import (
    peer_application,
    readiness_application,
    serve,
)
from acaciawing.jobserver.machine_watch import MachineWatch
from acaciawing.jobserver.membership import (
    CellHolders,
    MembershipTask,
    StoreContact,
    group_member,
)
from acaciawing.jobserver.messages import ReleaseCells
from acaciawing.jobserver.metrics import METRICS
from acaciawing.jobserver.peers import Peers
from acaciawing.jobserver.queue_homes import QueueHomes
from acaciawing.platform.node import (
    NodeSettings,
    NodeSettingsError,
    read_node_settings,
)
from acaciawing.telemetry import Event, configure_logs, log_event
from acaciawing.telemetry.stream import BoundedStream

# Port of the metrics listener; must match deploy/system.toml.
METRICS_PORT = 9464

# Requests are still served for this time after SIGTERM, so that two readiness
# checks of the balancer have failed before the listeners close.
_SHUTDOWN_DELAY_S = 3.0

# Timeout for releasing the cells, for leaving the group and for closing the log
# stream.
_RELEASE_TIMEOUT_S = 0.5


class Daemon:
    """Builds and runs the tasks of one instance.

    Args:
        settings: Settings that the platform provides for this instance.
    """

    def __init__(self, settings: NodeSettings) -> None:
        """Builds the tasks; `run` starts them."""
        self._settings = settings
        store = settings.store_address
        self._address = f"{settings.ip}:{settings.first_internal_port}"
        self._contact = StoreContact()
        capable = (
            settings.cores >= MIN_HOLDER_CORES
            and settings.link_mbps >= MIN_HOLDER_LINK_MBPS
        )
        self._engine = Engine(
            store,
            group_member(self._address, standby=not capable),
            settings.partitions,
            settings.retention_s,
            settings.state_retention_s,
            settings.max_lease_ms / 1000,
            settings.store_limits,
        )
        self._configuration_follower = ConfigurationFollower(
            store, self._engine.send, self._contact
        )
        self._worker_list_follower = WorkerListFollower(
            store, self._engine.send, self._engine.holds_cells
        )
        self._holders = CellHolders(store)
        self._membership = MembershipTask(
            store,
            self._address,
            self._contact,
            self._engine.send,
            settings.partitions,
            None if capable else self._holders,
        )
        self._engine.set_rejoin_requester(self._membership.request_rejoin)
        self._peers = Peers(self._engine, self._holders, self._address)
        self._client_api = ClientApi(
            self._configuration_follower,
            self._peers,
            QueueHomes(store, self._contact, settings.partitions),
            Appender(store, self._contact),
            self._contact,
            settings.partitions,
            settings.max_state_age_ms / 1000,
            random.Random(settings.name),
            max_submission_bytes(settings.store_limits.record_bytes),
        )
        self._fleet_task = FleetTask(
            settings,
            self._configuration_follower,
            self._peers,
            self._engine.tenure,
            self._engine.may_order_machines,
        )
        self._machine_watch = MachineWatch(
            settings.machines_address,
            settings.name,
            self._engine.has_unconfirmed_runs,
            self._engine.send,
        )
        if settings.advice_address:
            advice_task = AdviceTask(settings.advice_address, self._engine.send)
            self._engine.set_advice_requester(advice_task.queue_request)
            advice_task.start()
        self._stopping = threading.Event()

    def run(self) -> None:
        """Serves until SIGTERM."""
        settings = self._settings
        signal.signal(signal.SIGTERM, lambda *_: self._stopping.set())
        signal.signal(signal.SIGINT, lambda *_: self._stopping.set())
        signal.signal(signal.SIGHUP, self._reload_settings)
        serve(
            settings.readiness_address, readiness_application(self._is_ready), 1
        )
        serve(f"{settings.ip}:{METRICS_PORT}", METRICS.application, 1)
        METRICS.start()
        serve(self._address, peer_application(self._peers), PEER_THREADS)
        client_listener = serve(
            settings.client_address, self._client_api, CLIENT_THREADS
        )
        self._engine.start()
        self._configuration_follower.start()
        self._worker_list_follower.start()
        self._membership.start()
        self._holders.start()
        if settings.machines_address:
            self._fleet_task.start()
            self._machine_watch.start()
        log_event(
            Event.INSTANCE_STARTED,
            {
                "listen": settings.client_address,
                "store": settings.store_address,
            },
        )
        self._stopping.wait()
        self._stop()
        client_listener.stop()
        log_event(Event.INSTANCE_STOPPED, {})

    def _is_ready(self) -> bool:
        return (
            not self._stopping.is_set()
            and self._configuration_follower.configuration is not None
            and not self._contact.is_lost(steady_s())
        )

    def _stop(self) -> None:
        """Releases all cells, then keeps serving clients for a short time."""
        log_event(Event.INSTANCE_STOPPING, {})
        released: Future[None] = Future()
        self._engine.send(ReleaseCells(released))
        try:
            released.result(_RELEASE_TIMEOUT_S)
        except FutureTimeoutError:
            log_event(Event.FINDING, {"place": "release", "fault": "timed out"})
        self._membership.leave(_RELEASE_TIMEOUT_S)
        threading.Event().wait(_SHUTDOWN_DELAY_S)

    def _reload_settings(self, *_: object) -> None:
        try:
            settings = read_node_settings()
        except NodeSettingsError as error:
            log_event(Event.FINDING, {"place": "settings", "fault": str(error)})
            return
        changed = settings != self._settings
        log_event(Event.SETTINGS_REREAD, {"changed": changed})


def main() -> int:
    """Runs the job server with the platform's settings until SIGTERM."""
    try:
        settings = read_node_settings()
    except NodeSettingsError as error:
        for finding in error.findings:
            print(f"{finding.place}: {finding.fault}", file=sys.stderr)
        return 2
    stream = BoundedStream(sys.stdout.buffer, _format_dropped_lines)
    configure_logs(
        "json", stream, entry=settings.name, entry_zone=settings.zone
    )
    Daemon(settings).run()
    stream.close(_RELEASE_TIMEOUT_S)
    # A normal exit would wait for the threads of the other listeners until the
    # platform sends SIGKILL.
    os._exit(0)


def _format_dropped_lines(count: int) -> str:
    number, text = Event.LINES_LEFT_OUT.value
    return json.dumps({"event": text, "number": number, "count": count})
