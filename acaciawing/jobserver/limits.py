"""Time limits and resource limits of the job server."""

# Duration of leases granted to workers: longer than the takeover from a frozen
# holder and than most network cuts, but short enough that the runs of a lost
# worker restart in time.
LEASE_S = 5.0

# Minimum rate of a worker's clock relative to this instance's clock.
MIN_CLOCK_RATE = 0.98

# A holder gives no orders and grants no leases after this time without a
# confirmation by the store's group.
AUTHORITY_S = 6.0

# After a takeover, runs of an earlier holder on an unreachable worker may
# continue for this time.
UNCONFIRMED_RUNS_S = AUTHORITY_S + LEASE_S / MIN_CLOCK_RATE

# A group member expires after this time without a join. This is the minimum that
# the store accepts, because a dead holder's cells make no progress until then.
MEMBER_TTL_MS = 1000

# Timeout of a join: two of them fit into a member's lifetime. After a failed
# join, the longer timeout allows for a slow store.
JOIN_TIMEOUT_S = 0.4
SLOW_JOIN_TIMEOUT_S = 1.0

# Pause between two joins, which renew the membership.
JOIN_INTERVAL_S = 0.15

# An instance with fewer resources holds cells only if no other does: a peak of a
# large pool takes about one core and some ten Mbit/s at its holder.
MIN_HOLDER_CORES = 1.0
MIN_HOLDER_LINK_MBPS = 50.0

# An instance below these limits waits this long for a more capable one: longer
# than a member's lifetime plus the interval at which the holders are read.
STANDBY_DELAY_S = 2.5

# A worker may delay its answer to a poll for this time until a run ends.
POLL_WAIT_MS = 600

# The store may delay its answer to a read for this time until a record arrives.
# Bounds the time until a silent connection is detected.
READ_WAIT_MS = 700

# The same for this time after a recovery, in seconds: a new holder holds back jobs
# until a read that was sent some time after its takeover has returned.
TAKEOVER_READ_WAIT_MS = 100
TAKEOVER_READS_S = 1.0

# Minimum time between two reads of the worker list: entries change with each
# heartbeat, and every read has a cost.
WORKER_READ_INTERVAL_S = 0.1

# Minimum time between two reads by an instance that holds no cell.
IDLE_WORKER_READ_INTERVAL_S = 1.0

# Interval at which the engine advances the time of its cells.
TICK_INTERVAL_S = 0.05

# The store is considered lost after this time without an answer. Joins are sent
# every 0.15 s, and a slow store answers within 0.3 s. An instance that has lost
# the store is not ready and refuses requests immediately.
STORE_LOST_AFTER_S = 1.2

# Pause after a failed call; it doubles with each failure up to the maximum.
RETRY_PAUSE_S = 0.05
MAX_RETRY_PAUSE_S = 0.4

# The evacuation of workers ends after this time without a request of the fleet's
# holder, which sends one in each round. The time covers a round whose orders are
# all sent at the end of their validity and then time out after 1 s.
EVACUATION_RETENTION_S = 3.0

# An order for an evacuated machine is sent only for this time after the reports
# that show it as evacuated were requested.
MACHINE_ORDER_VALIDITY_S = 1.0

# Maximum age of what is known of the queues' homes when a client is told that a
# job does not exist, and when it is told how many jobs of a queue wait.
HOME_VALIDITY_S = 1.0
WAITING_HOME_VALIDITY_S = 10.0

# Part of a client's timeout that is reserved for the transit of the answer.
ANSWER_MARGIN_S = 0.15

# Number of threads for clients and number of threads for other instances.
CLIENT_THREADS = 16
PEER_THREADS = 6
