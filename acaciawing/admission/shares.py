"""Division of a plan's limits among the entry instances.

Each instance gossips its highest demand of the last `DEMAND_WINDOW_S` and computes
its share from its own lowest demand in this window. As long as the gossiped values
are at most `DEMAND_WINDOW_S` old, the shares add up to no more than the limit: at
the time at which the oldest value in use was published, each instance had at least
the demand that it uses for itself, and at most the demand that the others use for
it.

Demand is smoothed by a geometric mean over about `SMOOTHING_TIME_S`, so the shares
follow the slowly changing distribution of demand over the instances. Without
smoothing, a rise on all instances at once would lower each share for
`DEMAND_WINDOW_S`, since each instance would combine the others' new demand with its
own old one.

Let n be the number of known members, a_i the lowest demand of member i itself, b_ij
the demand of member j as received by i, and U_i the number of members from which i
has received no demand. The share of member i is

    share_i = 0.5 / n + 0.5 * a_i / (a_i * (1 + U_i) + sum of b_ij received).

If demand is steady and all members receive each other's demand, this equals
0.5 / n + 0.5 * demand_i / sum of demand. If a member receives nothing, its share is
1 / n. A member without a received value is assumed to have the same demand as i
itself, since it may be serving on the other side of a partition.

The sum of the shares of all members, with values at most `DEMAND_WINDOW_S` old, is
bounded by

- 1 if reception is symmetric, that is, any two members either receive each other's
  demand or neither does. The weights 1, b_ij / a_i form a matrix with
  w_ij * w_ji >= 1, whose inverse row sums add up to at most 1 (Stein and Mizzi
  2007, harmonic consistency index);
- 0.5 + 0.5 * H(n), with H(n) = 1 + 1/2 + ... + 1/n, if values are lost in one
  direction only. In the worst case this is 1.91 with 9 members;
- plus 0.5 / n for each running member that is not yet in the views of the others,
  and 1 / n for each one that is no longer in them;
- plus at most 0.5 / n for each member whose samples do not span a whole window
  yet. Its share is 1 / n. With only the even share of 0.5 / n, a new fleet would
  refuse a plan that uses half of its limit.
"""

from collections.abc import Collection, Mapping
from math import exp

from msgspec import Struct, field

# Part of the limit that is divided evenly.
EVEN_SHARE = 0.5
# Liveness timeout of the gossip (5 s) plus two rounds to relay a value.
DEMAND_WINDOW_S = 6.0
# Time constant of the mean. When demand rises on all instances, 1.07 of the limit is
# admitted in the first 6 s (1.12 with a constant of 60 s, 0.75 without smoothing).
# Shares follow demand that moves to one instance within 20 s (60 s with a constant of
# 60 s).
SMOOTHING_TIME_S = 20.0
# Lower bound of demand, in requests per second. It keeps the logarithm finite and
# gives idle members equal shares.
MIN_DEMAND_PER_S = 1.0


class DemandHistory(Struct, frozen=True):
    """Recent demand of one plan in this entry instance.

    Attributes:
        samples: Time and smoothed demand (requests per second), oldest first.
            The first sample may be older than `DEMAND_WINDOW_S`.
    """

    samples: tuple[tuple[float, float], ...] = ()

    def lowest(self, now: float) -> float | None:
        """Returns the lowest demand, or None until samples span the window."""
        if not self.samples or self.samples[0][0] > now - DEMAND_WINDOW_S:
            return None
        return min(demand for _, demand in self.samples)

    def highest(self) -> float:
        """Returns the highest demand, which is the one to publish."""
        return max((demand for _, demand in self.samples), default=0.0)


def observe_demand(
    history: DemandHistory, demand: float, now: float
) -> DemandHistory:
    """Adds a sample and drops those older than the window.

    Args:
        history: The history before.
        demand: Arrivals in requests per second, refused ones included.
        now: Time in seconds.

    Returns:
        The history after. After a gap in the samples, such as a pause of the
        process, it holds only the new sample.
    """
    samples = history.samples
    if samples and now - samples[-1][0] > DEMAND_WINDOW_S / 2:
        samples = ()
    first = 0
    while (
        first + 1 < len(samples)
        and samples[first + 1][0] <= now - DEMAND_WINDOW_S
    ):
        first += 1
    smoothed = _smooth(samples, max(MIN_DEMAND_PER_S, demand), now)
    return DemandHistory((*samples[first:], (now, smoothed)))


def _smooth(
    samples: tuple[tuple[float, float], ...], demand: float, now: float
) -> float:
    if not samples:
        return demand
    at, before = samples[-1]
    weight = 1.0 - exp((at - now) / SMOOTHING_TIME_S)
    if samples[0][0] > now - DEMAND_WINDOW_S:
        # All samples have the same weight until the window is complete.
        weight = 1.0 / (len(samples) + 1)
    return float(before * (demand / before) ** weight)


class EntryView(Struct, frozen=True):
    """The set of entry instances as known to one of them.

    Attributes:
        member: The instance that has this view.
        demand_by_member: Published demand by plan of each other member with
            recent gossip. Empty if no gossip arrived for 3 s.
        roster: Members agreed on through the log, without those that the
            platform's list reports as ended.
    """

    member: str
    demand_by_member: Mapping[str, Mapping[str, float]] = field(
        default_factory=dict
    )
    roster: Collection[str] = ()

    @property
    def size(self) -> int:
        """Number of known members, including this one."""
        return len({self.member, *self.demand_by_member, *self.roster})


def share(view: EntryView, plan: str, lowest: float | None) -> float:
    """Computes this instance's share of a plan's limits.

    Args:
        view: The entry instances.
        plan: Name of the plan.
        lowest: Own demand, from `DemandHistory.lowest`; None gives an equal
            share.

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
    own = max(MIN_DEMAND_PER_S, lowest)
    others = sum(
        max(MIN_DEMAND_PER_S, d.get(plan, 0.0))
        for d in view.demand_by_member.values()
    )
    missing_count = size - 1 - len(view.demand_by_member)
    return EVEN_SHARE / size + (1.0 - EVEN_SHARE) * own / (
        own * (1 + missing_count) + others
    )
