"""Reference implementation of leases and ownership, on mutable dicts."""

from dataclasses import dataclass, field
from typing import Any

from acaciawing import leases as ls
from acaciawing import ownership as ow
from acaciawing.records import LogPosition


@dataclass
class Reference:
    """Folds the same records, with a separate end for each lease.

    Attributes:
        leases: Holder, token and end of each lease, by subject.
        holder_ends: Latest end of the leases of each holder.
        owned: Fields of each owned instance, by id.
        retired: `Listing.as_of` of the list without the instance, by id.
    """

    leases: dict[str, list[Any]] = field(default_factory=dict)
    holder_ends: dict[str, float] = field(default_factory=dict)
    owned: dict[str, dict[str, Any]] = field(default_factory=dict)
    retired: dict[str, float] = field(default_factory=dict)

    def apply(self, record: Any, writer: str, position: LogPosition) -> bool:
        """Applies a record; returns whether it was accepted."""
        now = position.appended_at
        match record:
            case ls.LeaseClaimed(subject, holder, replaces, duration):
                current = self.leases.get(subject)
                accepted = replaces == (current[1] if current else ls.NO_LEASE)
                if current and current[2] >= now:
                    accepted = False
                if not accepted or not 0 < duration <= 60 or holder != writer:
                    return False
                if self.holder_ends.get(holder, -1.0) < now:
                    self.leases = {
                        s: x for s, x in self.leases.items() if x[2] >= now
                    }
                    self.holder_ends[holder] = now
                self.leases[subject] = [holder, position.offset, now]
                self._extend_leases(holder, now, duration)
                return True
            case ls.LeasesRenewed(holder, _, duration):
                if holder != writer or self.holder_ends.get(holder, -1.0) < now:
                    return False
                self._extend_leases(holder, now, duration)
                return True
            case ls.LeasesReleased(holder, fences):
                released = [
                    f.subject
                    for f in fences
                    if self.leases.get(f.subject, ["", 0])[:2]
                    == [holder, f.token]
                ]
                for subject in released:
                    del self.leases[subject]
                return bool(released) and holder == writer
        lease = self.leases.get(record.fence.subject)
        if lease is None or lease[:2] != [writer, record.fence.token]:
            return False
        return lease[2] >= now and self._apply_ownership(
            record, position.offset
        )

    def _extend_leases(self, holder: str, now: float, duration: float) -> None:
        end = max(self.holder_ends[holder], now + duration)
        self.holder_ends[holder] = end
        for lease in self.leases.values():
            if lease[0] == holder and lease[2] >= now:
                lease[2] = end

    def _apply_ownership(self, record: Any, offset: int) -> bool:
        name, pool = record.instance, record.fence.subject[len("pool:") :]
        if isinstance(record, ow.InstanceAdopted):
            is_newer = record.listed_at > self.retired.get(name, -1.0)
            if name in self.owned or record.pool != pool or not is_newer:
                return False
            self.retired.pop(name, None)
            self.owned[name] = {
                "pool": pool,
                "phase": "serving",
                "to_pool": "",
                "listed_at": record.listed_at,
                "incarnation": record.incarnation,
                "epoch": offset,
            }
            return True
        current = self.owned.get(name)
        if not current or (current["epoch"], current["pool"]) != (
            record.epoch,
            pool,
        ):
            return False
        if not self._apply_change(record, current):
            return False
        current["epoch"] = offset
        return True

    def _apply_change(self, record: Any, current: dict[str, Any]) -> bool:
        match record:
            case ow.InstanceReplaced():
                if record.incarnation <= current["incarnation"]:
                    return False
                current.update(phase="serving", incarnation=record.incarnation)
                current["listed_at"] = max(
                    current["listed_at"], record.listed_at
                )
                return True
            case ow.InstanceRetired():
                if record.listed_at <= current["listed_at"]:
                    return False
                self.retired[record.instance] = record.listed_at
                del self.owned[record.instance]
                return True
        return _apply_move(record, current)


def _apply_move(record: Any, current: dict[str, Any]) -> bool:
    before, after = {
        ow.MoveBegun: ("serving", "leaving"),
        ow.MoveFinished: ("leaving", "returning"),
        ow.MoveCancelled: ("leaving", "returning"),
        ow.InstanceReturned: ("returning", "serving"),
    }[type(record)]
    if current["phase"] != before:
        return False
    if isinstance(record, ow.MoveBegun):
        if record.to_pool in ("", current["pool"]):
            return False
        current["to_pool"] = record.to_pool
    if isinstance(record, ow.MoveFinished):
        current["pool"] = current["to_pool"]
    if isinstance(record, ow.InstanceReturned):
        if record.incarnation < current["incarnation"]:
            return False
        current["incarnation"] = record.incarnation
    current["phase"] = after
    return True


@dataclass
class LastWriterWins:
    """Baseline without epochs and tokens: each record takes effect."""

    pools: dict[str, set[str]] = field(default_factory=dict)
    targets: dict[str, str] = field(default_factory=dict)

    def apply(self, record: Any) -> None:
        """Applies a record without any check."""
        match record:
            case ow.InstanceAdopted():
                self.pools.setdefault(record.pool, set()).add(record.instance)
            case ow.InstanceRetired(instance, _, _, fence):
                self._drop(instance, fence.subject[len("pool:") :])
            case ow.MoveBegun():
                self.targets[record.instance] = record.to_pool
            case ow.MoveFinished(instance, _, fence):
                self._drop(instance, fence.subject[len("pool:") :])
                to_pool = self.targets.get(instance, "")
                self.pools.setdefault(to_pool, set()).add(instance)

    def _drop(self, instance: str, pool: str) -> None:
        self.pools.get(pool, set()).discard(instance)

    def has_duplicate(self) -> bool:
        """Returns whether an instance is in two pools."""
        instances = [i for pool in self.pools.values() for i in pool]
        return len(instances) != len(set(instances))
