"""The primary changes its own view: new backups, fewer, or another primary.

Both views' majorities count until the store has answered, and members that
are new hold everything before the view is written. So whichever of the two
views turns out to be in force, each of its majorities holds every answer.
"""

from typing import Final

from guavagate.exceptions import StoreError
from guavagate.models import Epoch, InstanceId, Revision
from guavagate.partitions._hosting import Hosting
from guavagate.partitions._primary import Primary
from guavagate.partitions._takeover import announce
from guavagate.partitions._view import Member, Position, View

_PREPARE_LIMIT: Final = 3.0
_CATCH_UP_LIMIT: Final = 1.0
_WRITE_LIMIT: Final = 3.0
_PAUSE: Final = 0.01


def change_view(
    hosting: Hosting, primary: Primary, target: list[InstanceId]
) -> bool:
    """Give the partition to these instances, the first as its primary.

    Returns whether a view with them is in force.
    """
    members = _prepare(hosting, primary, target)
    if not members or members[0].instance != target[0]:
        return False
    try:
        known, version = hosting.store.read(primary.view.partition)
    except StoreError:
        return False
    if known is None or known.change != primary.view.change:
        if known is not None:
            hosting.learn(known)
        return False
    return _put_in_force(hosting, primary, tuple(members), version)


def _prepare(
    hosting: Hosting, primary: Primary, target: list[InstanceId]
) -> list[Member]:
    """Bring up those that are new; leave out those that can't be."""
    me = hosting.around.me
    known = {member.instance: member for member in primary.view.members}
    members: list[Member] = []
    for instance in target:
        member = known.get(instance)
        if member is not None and _is_same(primary, member):
            members.append(member)
        elif instance != me.instance:
            prepared = primary.prepare(instance, _PREPARE_LIMIT)
            members.extend([prepared] if prepared else [])
    return members


def _is_same(primary: Primary, member: Member) -> bool:
    """Say whether a member has not been started again since."""
    return primary.boots.get(member.instance, member.boot) == member.boot


def _put_in_force(
    hosting: Hosting,
    primary: Primary,
    members: tuple[Member, ...],
    version: Revision,
) -> bool:
    """Write the view and go on by whichever is in force."""
    hands_over = members[0] != hosting.around.me
    if hands_over:
        primary.freeze()
    new = View(
        partition=primary.view.partition,
        epoch=Epoch(max(primary.view.epoch, primary.outbid) + 1),
        members=members,
        change=hosting.around.make_id(),
        base=Position(primary.view.epoch, primary.replica.position.seq),
        lost_at=primary.view.lost_at,
    )
    if hosting.around.safeguards.joint:
        primary.pending = new
        if not _catch_up(hosting, primary, new):
            primary.pending = None
            primary.thaw()
            return False
    agreed = _settle(hosting, primary, new, version)
    if agreed is None or primary.closed:
        return False
    return _go_on(hosting, primary, new, agreed)


def _catch_up(hosting: Hosting, primary: Primary, new: View) -> bool:
    """Wait until the new members hold what was answered before they count."""
    clock = hosting.around.clock
    joining = [
        member
        for member in new.members
        if member not in primary.view.members or member == new.primary
    ]
    wanted = [one for one in joining if one != hosting.around.me]
    end = clock.now() + _CATCH_UP_LIMIT
    while clock.now() < end and not primary.closed:
        primary.replicate(wanted)
        if all(primary.holds(one, new.base.seq) for one in wanted):
            return True
        clock.sleep(_PAUSE)
    return False


def _settle(
    hosting: Hosting, primary: Primary, new: View, version: Revision
) -> View | None:
    """Write until the store has answered; the view may be in force till then.

    Giving up would leave this primary answering by the old view's majority
    alone while the new view is in force and others take over by it.
    """
    while not primary.closed:
        agreed = hosting.store.replace(new, version, _WRITE_LIMIT)
        if agreed is not None:
            return agreed
        if not hosting.around.safeguards.read_back:
            primary.pending = None
            primary.thaw()
            return None
        hosting.around.clock.sleep(hosting.around.jitter(0.2, 1))
    return None


def _go_on(hosting: Hosting, primary: Primary, new: View, agreed: View) -> bool:
    """Continue in the view that is in force."""
    before = primary.view
    if agreed.change != new.change:
        hosting.learn(agreed)
        return False
    if new.primary == hosting.around.me:
        primary.advance(new)
    else:
        hosting.step_down(new.partition)
    hosting.learn(new)
    announce(hosting, new, before)
    return True
