"""Division of a plan's limits among the entry instances.

Each instance publishes its highest demand of the last `WINDOW_S` and uses its
own lowest one in the same time. News that is at most `WINDOW_S` old then makes
no instance count on more than all others leave to it: at the moment when the
oldest news in use was published, every instance uses no more than its demand of
that moment, and all others allow for no less.

Demand is a geometric mean over about `SMOOTH_S`. Shares follow how demand is
spread over the instances, which changes slowly. A rise that reaches all of them
at once would otherwise lower each share for `WINDOW_S`, since each instance sees
the others' new demand and counts on its own old one.

With a_i the own lowest demand, b_ij the demand that i has heard of j, n all
members known and U_i those among them that are not heard,

    share_i = 0.5 / n + 0.5 * a_i / (a_i * (1 + U_i) + sum of b_ij heard).

If everyone is heard and demand is steady, that is
0.5 / n + 0.5 * demand_i / sum of demand. If nobody is heard it is 1 / n. A member
that is not heard counts as demanding what i itself demands: it may serve the
other side of a partition.

Bound on the sum over all members, for news at most `WINDOW_S` old:

- 1 if any two members either hear each other or do not. The weights
  1, b_ij / a_i form a matrix with w_ij * w_ji >= 1, whose inverse row sums add
  up to at most 1 (Stein and Mizzi 2007, harmonic consistency index);
- 0.5 + 0.5 * H(n), H(n) = 1 + 1/2 + ... + 1/n, if news is lost in one direction
  only and in the worst arrangement: 1.91 at 9 members;
- plus 0.5 / n for each running member that the others do not count yet, and
  1 / n for one that they no longer count;
- plus at most 0.5 / n for each member that has not observed a whole window. It
  uses 1 / n, since with the floor alone a new fleet would refuse a plan that is
  at a half of its limit.
"""

from collections.abc import Collection, Mapping
from math import exp

from msgspec import Struct, field

FLOOR = 0.5
# Liveness bound of the gossip (5 s) and two rounds to relay news.
WINDOW_S = 6.0
# Time constant of the mean. 60 s admits 1.12 instead of 1.07 of the limit in the
# first 6 s of a common rise (0.75 without a mean), but needs 60 s instead of 20 s
# to follow demand that moves to one instance.
SMOOTH_S = 20.0
# Demand below this, in requests a second, counts as this. It bounds the logarithm
# and gives idle members equal shares.
IDLE = 1.0


class DemandHistory(Struct, frozen=True):
    """Demand of this entry instance for one plan.

    Attributes:
        samples: Time and smoothed demand (requests a second), oldest first.
            The first one may be older than `WINDOW_S`.
    """

    samples: tuple[tuple[float, float], ...] = ()

    def lowest(self, now: float) -> float | None:
        """Demand to count on; None until a whole window has been observed."""
        if not self.samples or self.samples[0][0] > now - WINDOW_S:
            return None
        return min(demand for _, demand in self.samples)

    def highest(self) -> float:
        """Demand to publish."""
        return max((demand for _, demand in self.samples), default=0.0)


def observe_demand(
    history: DemandHistory, demand: float, now: float
) -> DemandHistory:
    """Adds a sample and forgets what is older than the window.

    Args:
        history: The history before.
        demand: Requests a second that arrived, refused ones included.
        now: Time in seconds.

    Returns:
        The history after. A gap, such as a pause of the process, starts it
        anew.
    """
    samples = history.samples
    if samples and now - samples[-1][0] > WINDOW_S / 2:
        samples = ()
    first = 0
    while first + 1 < len(samples) and samples[first + 1][0] <= now - WINDOW_S:
        first += 1
    smooth = _smoothed(samples, max(IDLE, demand), now)
    return DemandHistory((*samples[first:], (now, smooth)))


def _smoothed(
    samples: tuple[tuple[float, float], ...], demand: float, now: float
) -> float:
    if not samples:
        return demand
    at, before = samples[-1]
    weight = 1.0 - exp((at - now) / SMOOTH_S)
    if samples[0][0] > now - WINDOW_S:
        # Until a window is whole, each sample counts the same.
        weight = 1.0 / (len(samples) + 1)
    return float(before * (demand / before) ** weight)


class EntryView(Struct, frozen=True):
    """The entry instances as one of them sees them.

    Attributes:
        member: The one that looks.
        heard: Published demand by plan, for each other member that was heard
            of lately. Empty if nobody was heard for 3 s.
        roster: Members agreed through the log, without those that the
            platform's list reports as ended.
    """

    member: str
    heard: Mapping[str, Mapping[str, float]] = field(default_factory=dict)
    roster: Collection[str] = ()

    @property
    def size(self) -> int:
        """Number of members known, this one included."""
        return len({self.member, *self.heard, *self.roster})


def share(view: EntryView, plan: str, lowest: float | None) -> float:
    """Computes this instance's part of a plan's limits.

    Args:
        view: The entry instances.
        plan: Name of the plan.
        lowest: Own demand to count on, from `DemandHistory.lowest`; None
            gives an even part.

    Returns:
        A number above 0, at most 1.

    >>> view = EntryView("a", {"b": {"gold": 10.0}}, ("a", "b"))
    >>> share(view, "gold", 30.0)
    0.625
    >>> share(EntryView("a", {}, ("a", "b", "c", "d")), "gold", 30.0)
    0.25
    """
    size = view.size
    if lowest is None:
        return 1.0 / size
    own = max(IDLE, lowest)
    others = sum(max(IDLE, d.get(plan, 0.0)) for d in view.heard.values())
    unheard = size - 1 - len(view.heard)
    return FLOOR / size + (1.0 - FLOOR) * own / (own * (1 + unheard) + others)
