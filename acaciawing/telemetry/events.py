"""Catalogue of numbered log events.

``docs/events.md`` describes them for operators; a test compares the two.
"""

from enum import Enum


class Event(Enum):
    """A log event; the value is its number and its fixed text."""

    ENTRY_STARTED = ("AW1001", "entry instance started")
    ENTRY_READY = ("AW1002", "entry instance ready")
    ENTRY_DRAINING = ("AW1003", "drain begun")
    ENTRY_STOPPED = ("AW1004", "entry instance stopped")
    CONFIGURATION_IN_FORCE = ("AW1101", "configuration in force")
    RECORD_IGNORED = ("AW1102", "log record ignored")
    LOG_UNAVAILABLE = ("AW1103", "log unavailable")
    LOG_AVAILABLE = ("AW1104", "log available again")
    LIST_UNAVAILABLE = ("AW1105", "instance list unavailable")
    CONTROL_DECIDED = ("AW1106", "control decision read back")
    PUBLICATION_ENDED = ("AW1107", "publication through the API ended")
    REQUEST_ROUTED = ("AW2001", "request routed")
    REQUEST_REFUSED = ("AW2002", "request refused")
    INSTANCE_STARTED = ("AW3001", "job instance started")
    INSTANCE_STOPPING = ("AW3002", "job instance stopping")
    INSTANCE_STOPPED = ("AW3003", "job instance stopped")
    SETTINGS_REREAD = ("AW3004", "settings read again")
    STORE_LOST = ("AW3005", "store lost")
    STORE_REGAINED = ("AW3006", "store regained")
    FINDING = ("AW3007", "received data not usable")
    CELL_ACQUIRED = ("AW3101", "cell acquired")
    CELL_RECOVERED = ("AW3102", "cell recovered")
    CELL_LOST = ("AW3103", "cell lost")
    QUEUES_IN_FORCE = ("AW3104", "queues in force")
    MEMBERSHIP_CHANGED = ("AW3105", "membership changed")
    WORKER_CONTACTED = ("AW3201", "worker contacted")
    WORKER_LOST = ("AW3202", "worker not reachable")
    WORKER_GONE = ("AW3203", "worker gone")
    LEASES_LAPSED = ("AW3204", "leases lapsed")
    WORKER_SUSPECTED = ("AW3205", "worker suspected")
    OTHER_INCARNATION = ("AW3206", "another incarnation answered an order")
    ENDS_INCOMPLETE = ("AW3207", "worker has more ends than it lists")
    RUN_PLACED = ("AW3301", "run placed")
    START_REFUSED = ("AW3302", "start refused")
    RUN_ADOPTED = ("AW3303", "run adopted")
    RUN_ABSENT = ("AW3304", "run absent")
    RUN_ENDED = ("AW3305", "run ended")
    JOB_ENDED = ("AW3306", "job ended")
    RUN_PACED = ("AW3307", "run paced")
    RUN_STOPPED = ("AW3308", "run stopped")
    JOB_ACCEPTED = ("AW3401", "job accepted")
    JOB_REFUSED = ("AW3402", "job refused")
    JOB_UNDECIDED = ("AW3403", "job submission undecided")
    JOB_STATE_TOLD = ("AW3404", "job state told")
    JOB_CANCELLED = ("AW3405", "job cancelled")
    QUEUE_HOME_ASSIGNED = ("AW3406", "queue home assigned")
    RUN_COPIED = ("AW3309", "run copied")
    RUN_LOST = ("AW3310", "run lost with its worker")
    SUBTASK_GIVEN_UP = ("AW3311", "subtask given up")
    STOP_WITHDRAWN = ("AW3312", "stop withdrawn")
    RUN_IN_DOUBT = ("AW3313", "run may be on the next incarnation")
    TICKETS_REQUESTED = ("AW3314", "tickets requested")
    TICKETS_RECEIVED = ("AW3315", "tickets received")
    POOL_SIZED = ("AW3503", "pool sized")
    MACHINE_ORDERED = ("AW3501", "machine ordered")
    WAVE_STATE = ("AW3502", "wave state written")
    TASK_FAILED = ("AW3902", "task failed")
    LINES_LEFT_OUT = ("AW3901", "log lines left out")

    @property
    def number(self) -> str:
        """Number in the catalogue, for example ``AW2001``."""
        return self.value[0]

    @property
    def text(self) -> str:
        """Fixed text of the event."""
        return self.value[1]
