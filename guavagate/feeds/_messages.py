"""Messages between relays and the instances that follow them."""

from guavagate.links import Message
from guavagate.models import Revision


class FeedEntry(Message, frozen=True, kw_only=True):
    """An object of the store; without a value it was removed."""

    path: str
    version: Revision
    value: bytes | None = None


class FeedChange(Message, frozen=True, kw_only=True):
    """One change of a relay's objects; `number` counts its changes."""

    boot: int
    number: int
    entry: FeedEntry


class FeedAddition(FeedChange, frozen=True, kw_only=True):
    """A change under a prefix that earlier releases do not follow.

    They could not apply it, and ignore a kind of message that they don't know.
    """


class FeedBeat(Message, frozen=True, kw_only=True):
    """A relay's heartbeat.

    `age` is how long ago, in seconds, the store last confirmed that the relay
    is up to date; `number` is that of its newest change. `proved_at` is when
    its configuration was last known to be the store's newest, and `clock` is
    the time of sending, both by its boot clock. Releases that track no proof
    send neither.
    """

    boot: int
    number: int
    age: float
    proved_at: float | None = None
    clock: float | None = None


class ReadFeed(Message, frozen=True, kw_only=True):
    """Requests all objects of a relay; `packed` allows a compressed reply.

    A release that does not know `packed` would read a compressed snapshot as
    an empty one and drop all its objects. One that states no `prefixes` follows
    only those of the first release, and could not read others.
    """

    packed: bool = False
    prefixes: tuple[str, ...] = ()


class FeedCopy(Message, frozen=True, kw_only=True):
    """A snapshot of a relay's objects, complete up to a store revision.

    It is in `entries` or, if the request allowed that, in `packed`. `prefixes`
    are those that it covers, if they are more than those of the first release;
    the others are complete up to `later_revision`, or to the prefix's own one
    in `revisions`, which not every release sends.
    """

    boot: int
    number: int
    age: float
    revision: Revision
    entries: list[FeedEntry] = []
    packed: bytes = b''
    prefixes: tuple[str, ...] = ()
    later_revision: Revision = Revision(0)
    revisions: dict[str, Revision] = {}
    proved_at: float | None = None
    clock: float | None = None


class ReadFeedClock(Message, frozen=True, kw_only=True):
    """Requests a relay's boot clock."""


class FeedClock(Message, frozen=True, kw_only=True):
    """A relay's boot clock, in seconds."""

    boot: int
    clock: float
