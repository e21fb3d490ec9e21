"""Time after which a client may repeat a request that was not executed.

Answers outages of the store of some seconds. Clients repeat a request a few times
only; at equal short pauses they have given up before the store is back, and all
that still wait return together.
"""

import math

# Another instance may serve the request at once, so the first pause is short.
MIN_RETRY_AFTER_S = 1

# A job has lost its value some seconds after its submission.
MAX_RETRY_AFTER_S = 3


def retry_after_s(outage_s: float, spread: float) -> int:
    """Returns the value of the Retry-After header in seconds.

    An outage is expected to last as long again as it has lasted; its end is not
    known any better.

    Args:
        outage_s: Time since the store's last answer, in seconds.
        spread: Random number in [0, 1), so that clients don't return together.

    >>> [retry_after_s(outage_s, 0.5) for outage_s in (0.0, 1.2, 2.6, 60.0)]
    [1, 1, 3, 3]
    """
    pause = min(MAX_RETRY_AFTER_S, max(MIN_RETRY_AFTER_S, outage_s))
    return math.floor(pause + spread)
