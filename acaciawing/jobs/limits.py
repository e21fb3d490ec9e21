"""Constants of a cell's scheduling."""

from acaciawing.jobs.actions import StartOutcome

# Run numbers of a holder start above its fence times this number, so that they
# are higher than all run numbers of earlier holders.
RUN_NUMBERS_PER_FENCE = 100_000

# Workers that don't refuse what exceeds their capacity get no new runs when their
# list was last read this long ago. With the 1.5 s after which a worker reports a
# smaller capacity, this is less than the 4.5 s for which the larger one may be
# used.
CAPACITY_VALIDITY_S = 2.5

# A start is not sent later than this after the decision. Orders for a worker are
# sent one after the other, and each one that is not answered takes 0.5 s; the
# worker may begin to drain meanwhile, and gets no start 2 s after that.
START_VALIDITY_S = 1.0

# A worker that refused a start for lack of room gets no new runs for this time:
# about one lease renewal, after which its runs are known again.
NO_ROOM_SUSPENSION_S = 0.15

# A worker that was not reached, or that refused a start for its own health, gets
# no new runs for this time.
REFUSAL_SUSPENSION_S = 0.6

# Outcomes after which the run may exist on the worker, or may still start.
UNCONFIRMED_OUTCOMES = (StartOutcome.UNANSWERED, StartOutcome.SUPERSEDED)

# An order to stop is repeated after this time if the run has not ended; longer
# than the 0.9 s that a worker may take to stop a run.
STOP_RETRY_S = 1.2

# A gang whose members have not all started after this time is stopped; shorter
# than the 3 s after which waiting members give up by themselves.
GANG_START_TIMEOUT_S = 1.5

# Runs on a hurried worker are stopped this long after its evacuation began. Most
# have ended by then, and checkpoints limit what the others lose.
EVACUATION_TIMEOUT_S = 2.0

# Runs that save checkpoints are stopped this long after the evacuation of their
# worker began, hurried or not, once another worker has room: they resume there
# after a stop of up to 0.9 s and a restore of 0.25 s.
CHECKPOINTED_EVACUATION_TIMEOUT_S = 0.6

# Runs are started without a further check for this time after the store's group
# has confirmed the holder; shorter than the 1 s after which the group may assign
# the cell to another instance.
CONFIRMATION_VALIDITY_S = 0.8

# A job is started if it was read within this time after a confirmation: longer
# than the 0.15 s between two joins. The group may assign the cell to another
# instance right after a confirmation, so a new holder holds back the jobs that were
# submitted within this time after it was assigned.
JOB_CONFIRMATION_VALIDITY_S = 0.4

# Percent that a worker reports for a long-running run at full speed.
FULL_SPEED_PERCENT = 100

# A long-running run of an earlier holder is treated as serving only this long
# after it was adopted: that holder's order to stop it takes up to 0.9 s, and
# until then the worker reports the run at full speed.
SETTLING_TIME_S = 1.5
