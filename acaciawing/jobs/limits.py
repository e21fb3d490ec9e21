"""Times and limits of a cell."""

from acaciawing.jobs.actions import StartOutcome

# Run numbers of a fence start at this multiple of it, so that every run of a
# later holder is higher than all runs of earlier ones.
RUN_NUMBERS_PER_FENCE = 100_000

# A worker that refused a start for want of room is left alone for this time,
# in seconds: about one renewal, after which its runs are known again.
NO_ROOM_SUSPENSION_S = 0.15

# A worker that refused a start for its own health is left alone for this time,
# in seconds.
REFUSAL_SUSPENSION_S = 0.6

# Outcomes after which a run may be there, or may begin later.
UNCONFIRMED_OUTCOMES = (StartOutcome.UNANSWERED, StartOutcome.SUPERSEDED)

# An order to stop is repeated after this time without an end, in seconds;
# above the 0.9 s that a worker may take to stop a run.
STOP_RETRY_S = 1.2

# A gang whose members have not all begun after this time is stopped, in
# seconds; below the 3 s after which waiting members give up by themselves.
GANG_START_TIMEOUT_S = 1.5


# Runs on a worker that is to be emptied are waited for this long, in seconds:
# most end by then, and stragglers lose little by their checkpoints.
EVACUATION_TIMEOUT_S = 2.0

# The same for runs that save their progress, which go on elsewhere after a
# stop of up to 0.9 s and a restore of 0.25 s.
CHECKPOINTED_EVACUATION_TIMEOUT_S = 0.6

# Runs are started without a further condition for this time after the group
# has confirmed the holder, in seconds; below the 1 s after which the cell may be
# dealt to another instance.
CONFIRMATION_VALIDITY_S = 0.8

# Percent that a run at full work is listed with.
FULL_SPEED_PERCENT = 100

# A lasting run counts as at work this long after it was started or adopted, in
# seconds: an earlier holder's order to stop it takes up to 0.9 s, and the run
# is listed as at full work meanwhile.
SETTLING_TIME_S = 1.5
