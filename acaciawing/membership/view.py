"""Membership state of one entry instance, and the values that it publishes."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from math import ceil, log

from immutables import Map

from acaciawing.membership.table import Row, Table, Value, set_values

ROUND_INTERVAL_S = 0.5
SUSPECT_TIMEOUT_S = 2.5
LIVE_TIMEOUT_S = 5.0
ISOLATION_TIMEOUT_S = 3.0
# Number of leave signals in a member's row. Older ones are on the platform's list
# by the time that they are overwritten.
MAX_LEAVE_SIGNALS = 128
# Number of rounds in which a member forwards a new change without a request.
RECENT_ROUNDS = 3
# Ratio of adjacent published levels, by table. The admission bound depends on the
# demand by plan. An error in the demand by pool costs only a refused exchange,
# and with finer levels 349 pools that peak in turn would fill the messages.
LEVEL_RATIOS = (0.0, 2.0**0.5, 4.0)
# A level stays published until demand is this many levels lower, by table, since
# fluctuating demand would otherwise cost a message in each round.
HYSTERESIS_LEVELS = (0, 3, 1.5)
# Lower demand is not published, since pools with only occasional requests would
# alternate between 0 and 1.
MIN_POOL_DEMAND = 0.5

# Key of the item that every row of demand has; see `start`.
MARKER_KEY = ""

# Indexes of the tables. There are several because the changes of a row are sent in
# order, and a leave signal must not wait behind changes of demand.
FLEET_TABLE, DEMAND_TABLE, POOL_TABLE = 0, 1, 2


@dataclass(frozen=True, slots=True)
class Membership:
    """Membership state of one member.

    Attributes:
        me: Id of this member.
        zone: Its availability zone.
        tables: Rows of all members in `FLEET_TABLE` (address, configuration,
            leaving endpoints) and `DEMAND_TABLE` (demand by plan), and of the
            members of the zone in `POOL_TABLE` (demand by pool).
        last_heartbeat_at: Time of the last new heartbeat by member, in seconds.
        pushed_versions: Own versions in each table at the last rounds, oldest
            first. Changes since the first are sent without a request.
        recent_changes: Changes of `FLEET_TABLE` rows that are forwarded without a
            request: own heartbeat at their arrival, member, version before.
        leave_count: Number of leave signals published so far.
        superseded: Whether a higher incarnation of this member was observed.
    """

    me: str
    zone: str
    tables: tuple[Table, Table, Table]
    last_heartbeat_at: Map[str, float] = Map()
    pushed_versions: tuple[tuple[int, int, int], ...] = ((0, 0, 0),)
    recent_changes: tuple[tuple[int, str, int], ...] = ()
    leave_count: int = 0
    superseded: bool = False

    @property
    def own(self) -> Row:
        """Own row in `FLEET_TABLE`."""
        return self.tables[FLEET_TABLE][self.me]


def with_table(state: Membership, index: int, table: Table) -> Membership:
    """Replaces one table."""
    tables = list(state.tables)
    tables[index] = table
    return replace(state, tables=(tables[0], tables[1], tables[2]))


@dataclass(frozen=True, slots=True)
class MemberPublication:
    """Values that a member publishes in a round.

    Attributes:
        demand: Highest demand by plan, from `admission.published_demand`.
        pools: Mean number of requests running or waiting over some seconds, by
            pool.
        min_pool_demand: Demand by pool below this is not published. With hundreds of
            pools pass twice the even share of a pool's slots, since their peaks
            alone would fill the messages; see `pool_demand`.
        configuration: Offset of the newest configuration that the member has.
    """

    demand: Mapping[str, float] = field(default_factory=dict)
    pools: Mapping[str, float] = field(default_factory=dict)
    configuration: int = -1
    min_pool_demand: float = MIN_POOL_DEMAND


def start(member: str, incarnation: int, zone: str, address: str) -> Membership:
    """Returns the state of a member that has just started."""
    row = set_values(Row(incarnation), {"zone": zone, "address": address})
    # An empty row is indistinguishable from one that was not received yet, and a
    # member with unknown demand must not be considered idle.
    empty: Table = Map(
        {member: set_values(Row(incarnation), {MARKER_KEY: 0.0})}
    )
    return Membership(member, zone, (Map({member: row}), empty, empty))


def round_up(value: float, ratio: float) -> float:
    """Rounds up to a power of `ratio`.

    Small changes of demand then cost no message. Demand is never published too
    low, which would violate the admission bound.

    >>> [round(round_up(v, 2**0.5), 2) for v in (0.0, 3.0, 4.0, 5.0)]
    [0.0, 4.0, 4.0, 5.66]
    """
    if value <= 0.0:
        return 0.0
    level = ratio ** ceil(log(value, ratio) - 1e-9)
    return ceil(level * 100 - 1e-6) / 100


def _levels(
    row: Row, values: Mapping[str, float], index: int
) -> dict[str, Value]:
    """Returns the levels to set; names that are not in `values` get 0."""
    ratio, lower_bound_ratio = (
        LEVEL_RATIOS[index],
        LEVEL_RATIOS[index] ** -HYSTERESIS_LEVELS[index],
    )
    levels: dict[str, Value] = {
        key: 0.0 for key, item in row.items.items() if item.value
    }
    for name, value in values.items():
        known = row.items.get(name)
        level = float(known.value) if known is not None else 0.0
        if lower_bound_ratio * level < value <= level:
            levels.pop(name, None)
        elif value > 0.0:
            levels[name] = round_up(value, ratio)
    return levels


def publish(state: Membership, publication: MemberPublication) -> Membership:
    """Starts a round: increments the heartbeat and sets the own values."""
    own = replace(state.own, heartbeat=state.own.heartbeat + 1)
    rows = [
        own,
        state.tables[DEMAND_TABLE][state.me],
        state.tables[POOL_TABLE][state.me],
    ]
    rows[FLEET_TABLE] = set_values(
        own, {"configuration": publication.configuration}
    )
    pools = {
        p: d
        for p, d in publication.pools.items()
        if d >= publication.min_pool_demand
    }
    for index, published in (
        (DEMAND_TABLE, publication.demand),
        (POOL_TABLE, pools),
    ):
        levels = _levels(rows[index], published, index)
        rows[index] = set_values(rows[index], levels)
    for index, row in enumerate(rows):
        table = state.tables[index].set(state.me, row)
        state = with_table(state, index, table)
    oldest = own.heartbeat - RECENT_ROUNDS
    return replace(
        state,
        pushed_versions=(
            *state.pushed_versions[-RECENT_ROUNDS + 1 :],
            (
                rows[FLEET_TABLE].version,
                rows[DEMAND_TABLE].version,
                rows[POOL_TABLE].version,
            ),
        ),
        recent_changes=tuple(r for r in state.recent_changes if r[0] > oldest),
    )


def publish_leaving(
    state: Membership, instance: str, incarnation: int
) -> Membership:
    """Publishes a leave signal that this member received from an endpoint."""
    value = f"{instance}:{incarnation}"
    own = state.own
    if any(
        item.value == value
        for key, item in own.items.items()
        if key.startswith("leaving/")
    ):
        return state
    key = f"leaving/{state.leave_count % MAX_LEAVE_SIGNALS}"
    table = state.tables[FLEET_TABLE].set(
        state.me, set_values(own, {key: value})
    )
    return replace(
        with_table(state, FLEET_TABLE, table), leave_count=state.leave_count + 1
    )


def publish_left(state: Membership) -> Membership:
    """Publishes that this member stops; call it once nothing is admitted."""
    table = state.tables[FLEET_TABLE].set(
        state.me, set_values(state.own, {"left": 1})
    )
    return with_table(state, FLEET_TABLE, table)


def is_complete(row: Row) -> bool:
    """Whether the values of the member were received."""
    return "address" in row.items


def heartbeating_members(state: Membership, now: float) -> dict[str, Row]:
    """Other members with a new heartbeat within `LIVE_TIMEOUT_S`.

    Includes members that are leaving.
    """
    return {
        member: row
        for member, row in state.tables[FLEET_TABLE].items()
        if member != state.me
        and now - state.last_heartbeat_at.get(member, float("-inf"))
        <= LIVE_TIMEOUT_S
    }


def left(state: Membership, now: float) -> frozenset[str]:
    """Members that published that they stop.

    They no longer admit requests, so callers can remove them from the roster
    before the log does.
    """
    return frozenset(
        member
        for member, row in heartbeating_members(state, now).items()
        if "left" in row.items
    )


def live(state: Membership, now: float) -> dict[str, Row]:
    """Other members that are considered to be serving."""
    return {
        member: row
        for member, row in heartbeating_members(state, now).items()
        if is_complete(row) and "left" not in row.items
    }


def suspected_members(state: Membership, now: float) -> tuple[str, ...]:
    """Live members without a new heartbeat for `SUSPECT_TIMEOUT_S`."""
    return tuple(
        member
        for member in live(state, now)
        if now - state.last_heartbeat_at[member] > SUSPECT_TIMEOUT_S
    )


def known_demand(state: Membership, now: float) -> dict[str, dict[str, float]]:
    """Demand by plan of each live member, for `admission.EntryView.heard`.

    Empty if there was no new heartbeat of any member for `ISOLATION_TIMEOUT_S`.
    """
    members = live(state, now)
    if all(
        now - state.last_heartbeat_at[member] > ISOLATION_TIMEOUT_S
        for member in members
    ):
        return {}
    demand_by_member = {}
    for member, row in members.items():
        published = state.tables[DEMAND_TABLE].get(member)
        # The demand of a previous incarnation is not valid for this one.
        if published is not None and published.incarnation == row.incarnation:
            demand_by_member[member] = {
                plan: float(item.value)
                for plan, item in published.items.items()
                if plan != MARKER_KEY
            }
    return demand_by_member


def pool_demand(
    state: Membership, pool: str, now: float, unpublished: float = 0.0
) -> dict[str, float]:
    """Demand in a pool by member of the zone, for `routing.divide_credits`.

    Args:
        state: State of this member.
        pool: Name of the pool.
        now: Time in seconds.
        unpublished: Demand to assume of members that published none: 0 if all
            demand is published, else the even share of the pool's slots.
    """
    members = live(state, now)
    demand = {}
    for member, row in state.tables[POOL_TABLE].items():
        if member == state.me or member in members:
            item = row.items.get(pool)
            published = float(item.value) if item is not None else 0.0
            demand[member] = published or unpublished
    return demand


def newest_configuration(
    state: Membership, now: float
) -> tuple[int, str] | None:
    """Highest configuration offset of a live member, and a member that has it."""
    held = [
        (int(row.items["configuration"].value), member)
        for member, row in live(state, now).items()
        if "configuration" in row.items
    ]
    return max(held, default=None)
