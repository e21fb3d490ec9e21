"""What one member knows of the others, and what it says of itself."""

from collections.abc import Mapping
from dataclasses import dataclass, field, replace
from math import ceil, log

from immutables import Map

from acaciawing.membership.table import Row, Table, Value, set_values

ROUND_INTERVAL_S = 0.5
SUSPECT_TIMEOUT_S = 2.5
LIVE_TIMEOUT_S = 5.0
ISOLATION_TIMEOUT_S = 3.0
# Leave signals that a member repeats; the list has older ones by then.
MAX_LEAVE_SIGNALS = 128
# Rounds in which a member passes on what it has just learnt.
RECENT_ROUNDS = 3
# Ratio of neighbouring levels, by table. Admission's bound rests on the demand by
# plan; a wrong demand by pool costs a refused exchange, and 349 pools that peak in
# turn would fill the messages with finer levels.
LEVEL_RATIOS = (0.0, 2.0**0.5, 4.0)
# A level is kept while demand is this many levels lower; demand that wavers would
# otherwise cost a message in each round.
HYSTERESIS_LEVELS = (0, 3, 1.5)
# Pools with a request now and then would change between 0 and 1 all the time.
MIN_POOL_DEMAND = 0.5

# Key of the item that makes a row of demand known.
MARKER_KEY = ""

# Indexes of the tables. They are separate because a row is read in the order of
# its changes: a leave signal must not wait behind changes of demand.
FLEET_TABLE, DEMAND_TABLE, POOL_TABLE = 0, 1, 2


@dataclass(frozen=True, slots=True)
class Membership:
    """What one member knows.

    Attributes:
        me: Id of this member.
        zone: Its availability zone.
        tables: Rows of all members in `FLEET_TABLE` (address, configuration, leaving
            endpoints), in `DEMAND_TABLE` (by plan) and, for the members of the zone,
            in `POOL_TABLE` (demand by pool).
        news_at: Time of the last heartbeat that was new, by member, seconds.
        pushed: Own versions in each table at the last rounds, oldest first;
            changes since the first are sent without being asked for.
        recent: Changes of `FLEET_TABLE` rows that are passed on unasked: own heartbeat
            when they came, member, version before.
        leaves: Leave signals that were published so far.
        superseded: Whether a higher incarnation of this member was heard of.
    """

    me: str
    zone: str
    tables: tuple[Table, Table, Table]
    news_at: Map[str, float] = Map()
    pushed: tuple[tuple[int, int, int], ...] = ((0, 0, 0),)
    recent: tuple[tuple[int, str, int], ...] = ()
    leave_count: int = 0
    superseded: bool = False

    @property
    def own(self) -> Row:
        """Own row of the fleet's table."""
        return self.tables[FLEET_TABLE][self.me]


def with_table(state: Membership, index: int, table: Table) -> Membership:
    """Replaces one table."""
    tables = list(state.tables)
    tables[index] = table
    return replace(state, tables=(tables[0], tables[1], tables[2]))


@dataclass(frozen=True, slots=True)
class MemberPublication:
    """What a member says of itself in a round.

    Attributes:
        demand: Highest demand by plan, from `admission.published_demand`.
        pools: Requests running or waiting by pool, as a mean over some
            seconds.
        least: Demand by pool below this is not published. With hundreds of
            pools pass twice the even share of a pool's slots, since their peaks
            alone would fill the messages; see `pool_demand`.
        configuration: Offset of the newest configuration it holds.
    """

    demand: Mapping[str, float] = field(default_factory=dict)
    pools: Mapping[str, float] = field(default_factory=dict)
    configuration: int = -1
    min_pool_demand: float = MIN_POOL_DEMAND


def start(member: str, incarnation: int, zone: str, address: str) -> Membership:
    """State of a member that has just started."""
    row = set_values(Row(incarnation), {"zone": zone, "address": address})
    # A row without any item could not be told from one not received yet, and
    # a member whose demand is not known must not count as idle.
    empty: Table = Map(
        {member: set_values(Row(incarnation), {MARKER_KEY: 0.0})}
    )
    return Membership(member, zone, (Map({member: row}), empty, empty))


def round_up(value: float, ratio: float) -> float:
    """Rounds up to a power of `ratio`.

    A demand that wavers then costs no message, and is never published too low,
    which would break the bound of admission.

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
    """Values to set; those no longer named become 0."""
    ratio, kept = (
        LEVEL_RATIOS[index],
        LEVEL_RATIOS[index] ** -HYSTERESIS_LEVELS[index],
    )
    levels: dict[str, Value] = {
        key: 0.0 for key, item in row.items.items() if item.value
    }
    for name, value in values.items():
        known = row.items.get(name)
        level = float(known.value) if known is not None else 0.0
        if kept * level < value <= level:
            levels.pop(name, None)
        elif value > 0.0:
            levels[name] = round_up(value, ratio)
    return levels


def publish(state: Membership, publication: MemberPublication) -> Membership:
    """Begins a round: counts the heartbeat and sets the own values."""
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
        pushed=(
            *state.pushed[-RECENT_ROUNDS + 1 :],
            (
                rows[FLEET_TABLE].version,
                rows[DEMAND_TABLE].version,
                rows[POOL_TABLE].version,
            ),
        ),
        recent=tuple(r for r in state.recent if r[0] > oldest),
    )


def publish_leaving(
    state: Membership, instance: str, incarnation: int
) -> Membership:
    """Spreads a leave signal that this member got from the endpoint."""
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
    """Says that this member stops; call it once nothing is admitted."""
    table = state.tables[FLEET_TABLE].set(
        state.me, set_values(state.own, {"left": 1})
    )
    return with_table(state, FLEET_TABLE, table)


def is_complete(row: Row) -> bool:
    """Whether the row holds more than the name of the member."""
    return "address" in row.items


def members_with_news(state: Membership, now: float) -> dict[str, Row]:
    """Other members with news within `LIVE_TIMEOUT_S`, leaving ones included."""
    return {
        member: row
        for member, row in state.tables[FLEET_TABLE].items()
        if member != state.me
        and now - state.news_at.get(member, float("-inf")) <= LIVE_TIMEOUT_S
    }


def left(state: Membership, now: float) -> frozenset[str]:
    """Members that said they stop.

    They admit nothing any more, so they can be taken off the roster before the
    log says so.
    """
    return frozenset(
        member
        for member, row in members_with_news(state, now).items()
        if "left" in row.items
    )


def live(state: Membership, now: float) -> dict[str, Row]:
    """Other members that serve, as far as is known."""
    return {
        member: row
        for member, row in members_with_news(state, now).items()
        if is_complete(row) and "left" not in row.items
    }


def suspected_members(state: Membership, now: float) -> tuple[str, ...]:
    """Live members without news for `SUSPECT_TIMEOUT_S`."""
    return tuple(
        member
        for member in live(state, now)
        if now - state.news_at[member] > SUSPECT_TIMEOUT_S
    )


def known_demand(state: Membership, now: float) -> dict[str, dict[str, float]]:
    """Demand by plan of each live member, for `admission.EntryView.members_with_news`.

    Empty if there was no news of anyone for `ISOLATION_TIMEOUT_S`.
    """
    members = live(state, now)
    if all(
        now - state.news_at[member] > ISOLATION_TIMEOUT_S for member in members
    ):
        return {}
    demand_by_member = {}
    for member, row in members.items():
        published = state.tables[DEMAND_TABLE].get(member)
        # A row of the previous incarnation says nothing of this one.
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
        state: What is known.
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
    """Highest offset that a live member holds, and a member that holds it."""
    held = [
        (int(row.items["configuration"].value), member)
        for member, row in live(state, now).items()
        if "configuration" in row.items
    ]
    return max(held, default=None)
