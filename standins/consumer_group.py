"""Stand-in for the groups of the users' log store, as their pages describe."""

from dataclasses import dataclass


@dataclass
class _Member:
    """A member of a group.

    Attributes:
        joined_at: When its last join arrived, in seconds.
        ttl_s: Time after that join at which it expires, in seconds.
    """

    joined_at: float
    ttl_s: float


@dataclass
class _Partition:
    """A partition of a group.

    Attributes:
        owner: Member that holds it; empty for none.
        since: Generation since which the owner holds it.
        target: Member that it is assigned to; empty for none.
        assigned_in: Generation of that assignment.
        offset: Offset that was committed last.
    """

    owner: str = ""
    since: int = 0
    target: str = ""
    assigned_in: int = 0
    offset: int = 0


@dataclass(frozen=True)
class Assignment:
    """Answer to a join.

    Attributes:
        generation: Generation of the group.
        partitions: Partitions that belong to the member, in order.
    """

    generation: int
    partitions: tuple[int, ...]


@dataclass(frozen=True)
class Owner:
    """Member that holds a partition.

    Attributes:
        member: Name of the member.
        since: Generation since which it holds the partition.
    """

    member: str
    since: int


class ConsumerGroup:
    """A group that deals the partitions of a topic to its members.

    Each join of a new member, leave, expiry and rebalance raises the generation
    and deals the partitions evenly. A partition that is assigned to another
    member stays with its owner, to whom it is not listed any more, until the
    owner joins with the generation of that assignment or a later one, leaves or
    expires.

    All times are in seconds, on a clock that never goes back.

    Args:
        partitions: Number of partitions.

    Attributes:
        reassigns_at_once: Whether each change of the members also passes on the
            partitions of those who have not joined since.
    """

    def __init__(self, partitions: int) -> None:
        """Starts without members."""
        self.reassigns_at_once = False
        self._partitions = [_Partition() for _ in range(partitions)]
        self._members: dict[str, _Member] = {}
        self._generation = 0
        # Number of rebalances; each one deals from another member on.
        self._rebalances = 0

    @property
    def generation(self) -> int:
        """Generation of the group."""
        return self._generation

    @property
    def members(self) -> tuple[str, ...]:
        """Names of the members, sorted."""
        return tuple(sorted(self._members))

    def join(
        self, member: str, generation: int, ttl_s: float, now: float
    ) -> Assignment:
        """Adds a member, or keeps it in the group.

        Args:
            member: Name of the member.
            generation: Generation that it received last; 0 for none.
            ttl_s: Time after which it expires without a further join.
            now: When the join arrived.
        """
        self.expire(now)
        is_new = member not in self._members
        self._members[member] = _Member(now, ttl_s)
        if is_new:
            self._deal()
        else:
            self._release(member, generation)
        return Assignment(self._generation, self._listed(member))

    def leave(self, member: str, now: float) -> None:
        """Removes a member; its partitions pass to others at once."""
        self.expire(now)
        self._remove([member])

    def commit(
        self,
        member: str,
        generation: int,
        partition: int,
        offset: int,
        now: float,
    ) -> bool:
        """Commits an offset of a partition.

        Returns:
            False, without a change, if the member doesn't hold the partition or
            the generation is from before it held it.
        """
        self.expire(now)
        if not 0 <= partition < len(self._partitions):
            return False
        state = self._partitions[partition]
        if state.owner != member or generation < state.since:
            return False
        state.offset = offset
        return True

    def rebalance(self, now: float) -> None:
        """Deals all partitions anew, at once and without any request."""
        self.expire(now)
        self._rebalances += 1
        self._deal()
        for partition in self._partitions:
            self._pass_on(partition)

    def expire(self, now: float) -> None:
        """Removes the members that have not joined within their lifetimes."""
        self._remove(
            [
                name
                for name, member in self._members.items()
                if now - member.joined_at > member.ttl_s
            ]
        )

    def owners(self, now: float) -> dict[int, Owner]:
        """Returns the owner of each partition that has one."""
        self.expire(now)
        return {
            number: Owner(partition.owner, partition.since)
            for number, partition in enumerate(self._partitions)
            if partition.owner
        }

    def offset(self, partition: int) -> int:
        """Returns the committed offset of a partition."""
        return self._partitions[partition].offset

    def _remove(self, members: list[str]) -> None:
        for member in members:
            if self._members.pop(member, None) is None:
                continue
            for partition in self._partitions:
                if partition.owner == member:
                    partition.owner = ""
            self._deal()

    def _deal(self) -> None:
        """Begins a generation in which the partitions are dealt evenly."""
        self._generation += 1
        members = self.members
        for number, partition in enumerate(self._partitions):
            target = (
                members[(number + self._rebalances) % len(members)]
                if members
                else ""
            )
            if target != partition.target:
                partition.target = target
                partition.assigned_in = self._generation
            if not partition.owner or self.reassigns_at_once:
                self._pass_on(partition)

    def _release(self, member: str, generation: int) -> None:
        """Passes on what a member has seen not to be listed for it."""
        for partition in self._partitions:
            if (
                partition.owner == member
                and partition.target != member
                and generation >= partition.assigned_in
            ):
                self._pass_on(partition)

    def _pass_on(self, partition: _Partition) -> None:
        """Gives a partition to the member that it is assigned to."""
        if partition.owner != partition.target:
            partition.owner = partition.target
            partition.since = self._generation

    def _listed(self, member: str) -> tuple[int, ...]:
        return tuple(
            number
            for number, partition in enumerate(self._partitions)
            if partition.owner == member == partition.target
        )
