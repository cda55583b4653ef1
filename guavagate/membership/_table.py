"""The member table of one instance, and the precedence of claims.

Claims are ordered by incarnation, then by state. Only a member itself raises
its incarnation, so only the suspected member can overrule a suspicion, and an
old claim that arrives late changes nothing.
"""

import dataclasses
from typing import Final

from guavagate.membership._packet import Contact, MemberState, Update
from guavagate.models import InstanceId

# A network partition between regions can last an hour. A member that is dropped
# from the table meanwhile would not be probed when the partition ends.
TOMBSTONE_SECONDS: Final = 7200.0

# Number of accusers that confirms a suspicion.
CONFIRMATIONS: Final = 3

_USABLE: Final = frozenset((MemberState.ALIVE, MemberState.SUSPECT))
ACCUSED: Final = frozenset((MemberState.SUSPECT, MemberState.DEAD))


@dataclasses.dataclass(slots=True)
class Member:
    """The known state of one member.

    `serving` tells whether it was usable before it was suspected: a suspicion
    neither takes an instance out of use nor puts a leaving one back.
    """

    contact: Contact
    state: MemberState
    incarnation: int
    since: float
    accusers: set[InstanceId] = dataclasses.field(default_factory=set)
    serving: bool = True

    def usable(self) -> bool:
        """Return whether it may get new work."""
        return self.serving and self.state in _USABLE

    def confirmed(self) -> bool:
        """Return whether enough instances independently accuse it."""
        return len(self.accusers) >= CONFIRMATIONS

    def reachable(self) -> bool:
        """Return whether requests may go to it; a leaving member counts."""
        return self.state is not MemberState.DEAD


class Table:
    """The members other than this instance, by id."""

    def __init__(self) -> None:
        self.members: dict[InstanceId, Member] = {}
        self.changes = 0

    def apply(self, update: Update, now: float) -> bool:
        """Apply a claim; return whether anything changed."""
        changed = self._apply(update, now)
        self.changes += changed
        return changed

    def _apply(self, update: Update, now: float) -> bool:
        known = self.members.get(update.id)
        state = MemberState(update.state)
        if known is None:
            return self._add(update, state, now)
        if state in ACCUSED:
            return self._apply_accusation(known, update, state, now)
        return self._apply_alive(known, update, state, now)

    def mark_dead(self, instance: InstanceId, now: float) -> Update:
        """Mark a member dead; return the claim to gossip."""
        member = self.members[instance]
        member.state = MemberState.DEAD
        member.since = now
        self.changes += 1
        return self.describe(instance)

    def describe(self, instance: InstanceId) -> Update:
        """Return a member's known state as a claim."""
        member = self.members[instance]
        accuser = min(member.accusers, default=instance)
        return Update(
            instance,
            member.state.value,
            member.incarnation,
            accuser,
            member.contact,
        )

    def find(self, instance: InstanceId) -> Member | None:
        """Return a member, or None if it is dead or unknown."""
        member = self.members.get(instance)
        return member if member and member.reachable() else None

    def address(self, instance: InstanceId) -> str:
        """Return the address at which a member listens for peers."""
        return self.members[instance].contact.peer_address

    def describe_accused(self, instance: InstanceId) -> tuple[Update, ...]:
        """Return the claim that a suspected or dead member must refute."""
        member = self.members.get(instance)
        if member is None or member.state not in ACCUSED:
            return ()
        return (self.describe(instance),)

    def reachable(self) -> list[InstanceId]:
        """Return all members that are not dead."""
        return [
            instance
            for instance, member in self.members.items()
            if member.reachable()
        ]

    def suspects(self) -> list[InstanceId]:
        """Return all suspected members."""
        return [
            instance
            for instance, member in self.members.items()
            if member.state is MemberState.SUSPECT
        ]

    def drop_expired(self, now: float) -> None:
        """Drop members that have been dead for `TOMBSTONE_SECONDS`."""
        limit = now - TOMBSTONE_SECONDS
        for instance, member in list(self.members.items()):
            if member.state is MemberState.DEAD and member.since < limit:
                self.members.pop(instance)

    def _add(self, update: Update, state: MemberState, now: float) -> bool:
        if update.contact is None or state is MemberState.DEAD:
            return False
        member = Member(update.contact, state, update.incarnation, now)
        member.serving = state is not MemberState.LEAVING
        if state is MemberState.SUSPECT:
            member.accusers.add(update.by)
        self.members[update.id] = member
        return True

    def _apply_alive(
        self, known: Member, update: Update, state: MemberState, now: float
    ) -> bool:
        newer = update.incarnation > known.incarnation
        if not newer and state is MemberState.LEAVING:
            return self._record_leaving(known, update)
        if not newer:
            return False
        if update.contact is None and known.state is MemberState.DEAD:
            # A packet header gives no contact; the detector requests it.
            return False
        known.contact = update.contact or known.contact
        known.state = state
        known.incarnation = update.incarnation
        known.since = now
        known.accusers.clear()
        known.serving = state is MemberState.ALIVE
        return True

    def _record_leaving(self, known: Member, update: Update) -> bool:
        """Take a leaving member out of use that is already suspected.

        The suspicion may arrive before the member's own claim that it leaves.
        Instances that received them in this order would otherwise still give
        it work.
        """
        if update.incarnation < known.incarnation or not known.serving:
            return False
        known.serving = False
        if known.state is MemberState.ALIVE:
            known.state = MemberState.LEAVING
        return True

    def _apply_accusation(
        self, known: Member, update: Update, state: MemberState, now: float
    ) -> bool:
        if update.incarnation < known.incarnation:
            return False
        if known.state is MemberState.DEAD:
            return False
        if state is MemberState.DEAD and update.by == update.id:
            known.state = MemberState.DEAD  # The member itself announced it.
            known.since = now
            known.accusers = {update.by}
            return True
        if known.state is MemberState.SUSPECT:
            return self._record_accuser(known, update, state, now)
        known.state = MemberState.SUSPECT
        known.incarnation = update.incarnation
        known.since = now
        known.accusers = {update.by}
        return True

    def _record_accuser(
        self, known: Member, update: Update, state: MemberState, now: float
    ) -> bool:
        known.incarnation = max(known.incarnation, update.incarnation)
        is_new = update.by not in known.accusers
        known.accusers.add(update.by)
        if state is MemberState.DEAD and known.confirmed():
            # The time to refute has passed at other members; waiting for this
            # one's own limit would only keep the member in use for longer.
            known.state = MemberState.DEAD
            known.since = now
            return True
        return is_new and len(known.accusers) <= CONFIRMATIONS
