"""What one instance holds of all members, and which claim wins.

A claim is ordered by incarnation, then by state. Only a member itself raises
its incarnation, so a suspicion is overruled by the suspected one alone, and an
old claim that arrives late changes nothing.
"""

import dataclasses
from typing import Final

from guavagate.membership._packet import Contact, MemberState, Update
from guavagate.models import InstanceId

# A partition between regions lasts an hour now and then; a member that was
# forgotten meanwhile would not be looked for when it ends.
TOMBSTONE_SECONDS: Final = 7200.0

CONFIRMATIONS: Final = 3

_USABLE: Final = frozenset((MemberState.ALIVE, MemberState.SUSPECT))
ACCUSED: Final = frozenset((MemberState.SUSPECT, MemberState.DEAD))


@dataclasses.dataclass(slots=True)
class Member:
    """What is held of one member.

    `serving` is whether it was usable before it was suspected: suspicion
    alone takes no instance out of use, and puts no leaving one back.
    """

    contact: Contact
    state: MemberState
    incarnation: int
    since: float
    accusers: set[InstanceId] = dataclasses.field(default_factory=set)
    serving: bool = True

    def usable(self) -> bool:
        """Return whether it may be given new work."""
        return self.serving and self.state in _USABLE

    def confirmed(self) -> bool:
        """Return whether enough could not reach it, each by itself."""
        return len(self.accusers) >= CONFIRMATIONS

    def reachable(self) -> bool:
        """Return whether it may be asked at all: leaving ones may."""
        return self.state is not MemberState.DEAD


class Table:
    """The members other than this instance, by id."""

    def __init__(self) -> None:
        self.members: dict[InstanceId, Member] = {}
        self.changes = 0

    def apply(self, update: Update, now: float) -> bool:
        """Take in a claim; return whether anything changed."""
        changed = self._apply(update, now)
        self.changes += changed
        return changed

    def _apply(self, update: Update, now: float) -> bool:
        known = self.members.get(update.id)
        state = MemberState(update.state)
        if known is None:
            return self._add(update, state, now)
        if state in ACCUSED:
            return self._accuse(known, update, state, now)
        return self._confirm(known, update, state, now)

    def bury(self, instance: InstanceId, now: float) -> Update:
        """Mark a member dead; return the claim to spread."""
        member = self.members[instance]
        member.state = MemberState.DEAD
        member.since = now
        self.changes += 1
        return self.describe(instance)

    def describe(self, instance: InstanceId) -> Update:
        """Return what is held of a member, as a claim."""
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
        """Return a member that is not dead, or nothing."""
        member = self.members.get(instance)
        return member if member and member.reachable() else None

    def address(self, instance: InstanceId) -> str:
        """Return where a member listens."""
        return self.members[instance].contact.peer_address

    def tell_accused(self, instance: InstanceId) -> tuple[Update, ...]:
        """Return what a member that is held suspect or dead must know."""
        member = self.members.get(instance)
        if member is None or member.state not in ACCUSED:
            return ()
        return (self.describe(instance),)

    def reachable(self) -> list[InstanceId]:
        """Return all that are not dead."""
        return [
            instance
            for instance, member in self.members.items()
            if member.reachable()
        ]

    def suspects(self) -> list[InstanceId]:
        """Return all that are suspected."""
        return [
            instance
            for instance, member in self.members.items()
            if member.state is MemberState.SUSPECT
        ]

    def forget(self, now: float) -> None:
        """Drop the members that have long been dead."""
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

    def _confirm(
        self, known: Member, update: Update, state: MemberState, now: float
    ) -> bool:
        newer = update.incarnation > known.incarnation
        if not newer and state is MemberState.LEAVING:
            return self._note_leaving(known, update)
        if not newer:
            return False
        if update.contact is None and known.state is MemberState.DEAD:
            # A header says that it lives but not where; it is asked.
            return False
        known.contact = update.contact or known.contact
        known.state = state
        known.incarnation = update.incarnation
        known.since = now
        known.accusers.clear()
        known.serving = state is MemberState.ALIVE
        return True

    def _note_leaving(self, known: Member, update: Update) -> bool:
        """Take a member out of use that was suspected before it was heard.

        The suspicion of a leaving member may arrive before its own word;
        it would else be given work again by those.
        """
        if update.incarnation < known.incarnation or not known.serving:
            return False
        known.serving = False
        if known.state is MemberState.ALIVE:
            known.state = MemberState.LEAVING
        return True

    def _accuse(
        self, known: Member, update: Update, state: MemberState, now: float
    ) -> bool:
        if update.incarnation < known.incarnation:
            return False
        if known.state is MemberState.DEAD:
            return False
        if state is MemberState.DEAD and update.by == update.id:
            known.state = MemberState.DEAD  # It says itself that it left.
            known.since = now
            known.accusers = {update.by}
            return True
        if known.state is MemberState.SUSPECT:
            return self._count_accuser(known, update, state, now)
        known.state = MemberState.SUSPECT
        known.incarnation = update.incarnation
        known.since = now
        known.accusers = {update.by}
        return True

    def _count_accuser(
        self, known: Member, update: Update, state: MemberState, now: float
    ) -> bool:
        known.incarnation = max(known.incarnation, update.incarnation)
        new = update.by not in known.accusers
        known.accusers.add(update.by)
        if state is MemberState.DEAD and known.confirmed():
            # Others' time to refute has passed as well; waiting for our own
            # would only keep it in use here for longest.
            known.state = MemberState.DEAD
            known.since = now
            return True
        return new and len(known.accusers) <= CONFIRMATIONS
