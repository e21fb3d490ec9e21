"""Times and limits of the job server."""

# Leases granted to workers, in seconds: longer than a frozen holder's takeover
# and than most cuts, short enough that work on a lost worker restarts in time.
LEASE_S = 5.0

# A worker's clock may be this much slower than ours.
MIN_CLOCK_RATE = 0.98

# A holder that the store's group has not confirmed for this time gives no more
# orders and grants no leases, in seconds.
AUTHORITY_S = 6.0

# Runs of an earlier holder may go on for this time after a takeover on a
# worker that can't be reached, in seconds.
UNCONFIRMED_RUNS_S = AUTHORITY_S + LEASE_S / MIN_CLOCK_RATE

# Lifetime of a group member without a call, in milliseconds: the store's
# minimum, as a dead holder's cells stand still for this time.
MEMBER_TTL_MS = 1000

# Longest wait for the answer of a call that keeps the membership, in seconds;
# two of them fit into its lifetime. After a failure a slow store gets longer.
JOIN_TIMEOUT_S = 0.4
SLOW_JOIN_TIMEOUT_S = 1.0

# Time between two calls that keep the membership, in seconds.
JOIN_INTERVAL_S = 0.15

# An instance with less than this holds cells only when no other does: a peak of
# a large pool takes about one core and some ten Mbit/s at its holder.
MIN_HOLDER_CORES = 1.0
MIN_HOLDER_LINK_MBPS = 50.0

# Such an instance waits this long for a more capable one, in seconds: above the
# lifetime of a member and an interval of reads.
STANDBY_DELAY_S = 2.5

# How long a worker may wait for an end in a renewal, in milliseconds.
POLL_WAIT_MS = 600

# How long the store may wait for a record in a read, in milliseconds; bounds
# the time for which a connection that went silent goes unnoticed.
READ_WAIT_MS = 700

# Shortest time between two reads of the workers' list, in seconds: entries
# change with each heartbeat, and every read has its price.
WORKER_READ_INTERVAL_S = 0.1

# The same at an instance that holds no cell.
IDLE_READ_INTERVAL_S = 1.0

# Time between two steps of the engine without a message, in seconds.
TICK_INTERVAL_S = 0.05

# The store counts as lost after this time without an answer, in seconds. The
# membership asks it every 0.15 s, and a slow store answers within 0.3 s. An
# instance that has lost it is not ready and refuses at once.
STORE_LOST_AFTER_S = 1.2

# Pause after a failed call, in seconds; doubled up to the longest one.
RETRY_PAUSE_S = 0.05
MAX_RETRY_PAUSE_S = 0.4

# Workers go back to work when the fleet's holder has not named them for this
# time, in seconds: several of its rounds.
EVACUATION_RETENTION_S = 2.0

# Part of a client's time that is kept for the answer's way back, in seconds.
ANSWER_MARGIN_S = 0.15

# A client whose request was not run may come back after this time, in seconds.
RETRY_AFTER_S = 1

# Threads that serve clients, and threads that serve other instances.
CLIENT_THREADS = 16
PEER_THREADS = 6

# Time between two looks for records that expire soon, in seconds.
RETAIN_INTERVAL_S = 2.0
