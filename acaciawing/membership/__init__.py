"""Membership of entry instances."""

from acaciawing.membership.gossip import (
    Gossip,
    News,
    choose_peers,
    receive,
    request,
    respond,
)
from acaciawing.membership.roster import EntryJoined, EntryLeft, Roster
from acaciawing.membership.view import (
    ROUND_S,
    Membership,
    Publication,
    heard_demand,
    left,
    live,
    newest_configuration,
    pool_demand,
    publish,
    publish_leaving,
    publish_left,
    rounded_up,
    start,
    suspected,
)

__all__ = [
    "ROUND_S",
    "EntryJoined",
    "EntryLeft",
    "Gossip",
    "Membership",
    "News",
    "Publication",
    "Roster",
    "choose_peers",
    "heard_demand",
    "left",
    "live",
    "newest_configuration",
    "pool_demand",
    "publish",
    "publish_leaving",
    "publish_left",
    "receive",
    "request",
    "respond",
    "rounded_up",
    "start",
    "suspected",
]
