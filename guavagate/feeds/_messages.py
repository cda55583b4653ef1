"""What relays tell, and what is asked of them."""

from guavagate.links import Message
from guavagate.models import Revision


class FeedEntry(Message, frozen=True, kw_only=True):
    """An object; no value means that it is gone."""

    path: str
    version: Revision
    value: bytes | None = None


class FeedChange(Message, frozen=True, kw_only=True):
    """The relay's change with this number."""

    boot: int
    number: int
    entry: FeedEntry


class FeedBeat(Message, frozen=True, kw_only=True):
    """A relay's sign of life.

    `age` is how long ago, in seconds, it last heard from the store that it
    has all; `number` is that of its newest change. `proved_at` is when what
    it holds of the configuration was surely the store's newest, and `clock`
    is now, both by its boot clock; nothing from a release that proves nothing.
    """

    boot: int
    number: int
    age: float
    proved_at: float | None = None
    clock: float | None = None


class ReadFeed(Message, frozen=True, kw_only=True):
    """Asks a relay for all that it has; `packed` if it may come packed.

    A release that knows nothing of that would take a packed copy for an empty
    one, and drop all that it holds.
    """

    packed: bool = False


class FeedCopy(Message, frozen=True, kw_only=True):
    """All that a relay has, complete up to a revision of the store.

    Either `entries` or, if that was asked for, `packed` holds it.
    """

    boot: int
    number: int
    age: float
    revision: Revision
    entries: list[FeedEntry] = []
    packed: bytes = b''
    proved_at: float | None = None
    clock: float | None = None


class ReadFeedClock(Message, frozen=True, kw_only=True):
    """Asks a relay for its boot clock."""


class FeedClock(Message, frozen=True, kw_only=True):
    """A relay's boot clock, in seconds."""

    boot: int
    clock: float
