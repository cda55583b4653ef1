"""The interface of the message bus."""

from collections.abc import Callable
from typing import Protocol, TypeVar

import msgspec

from guavagate.models import InstanceId


class Message(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Base of all messages between instances.

    Fields are only ever added, with a default, so that an old and a new
    release understand each other; msgspec ignores unknown ones.
    """


Expected = TypeVar('Expected', bound=Message)


def expect(message: Message, kind: type[Expected]) -> Expected:
    """Return the message as the kind that its handler was registered for."""
    if not isinstance(message, kind):
        raise TypeError(f'{type(message).__name__} is not a {kind.__name__}')
    return message


Handler = Callable[[InstanceId, 'Message'], 'Message | None']
Reply = TypeVar('Reply', bound=Message)


class Bus(Protocol):
    """Sends typed messages to instances.

    A kind is known on the wire by its class name; the reply's type is given
    by the one who asks.
    """

    def register(self, kind: type[Message], handler: Handler) -> None:
        """Call the handler, in a task of its own, for each such message.

        What the handler returns is the reply; a `GuavagateError` it raises
        reaches the asker as the same kind of error.
        """

    def request(
        self,
        peer: InstanceId,
        message: Message,
        reply: type[Reply],
        timeout: float,
    ) -> Reply:
        """Ask a peer and wait for its reply.

        Raises
        ------
        LinkRefusedError
            The message was certainly not handled (no link, queue full).
        LinkError
            No reply in time; the peer may have handled the message.
        """

    def send(self, peer: InstanceId, message: Message) -> None:
        """Send one way; nothing says whether it arrived."""
