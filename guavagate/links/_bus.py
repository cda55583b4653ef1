"""The interface of the message bus."""

from collections.abc import Callable
from typing import Protocol, TypeVar

import msgspec

from guavagate.models import InstanceId


class Message(msgspec.Struct, frozen=True, kw_only=True, omit_defaults=True):
    """Base of all messages between instances.

    Only add fields, each with a default, so that an old and a new release
    understand each other; msgspec ignores unknown fields.
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

    A message kind is identified on the wire by its class name; the requesting
    side gives the type of the reply.
    """

    def register(self, kind: type[Message], handler: Handler) -> None:
        """Register the handler that runs, in a new task, for each message.

        The handler's return value is the reply. A `GuavagateError` that it
        raises reaches the requesting side as the same class of error.
        """

    def request(
        self,
        peer: InstanceId,
        message: Message,
        reply: type[Reply],
        timeout: float,
    ) -> Reply:
        """Send a request to a peer and wait for its reply.

        Raises
        ------
        LinkRefusedError
            The peer did not handle the message (no link, queue full).
        LinkError
            No reply in time; the peer may have handled the message.
        """

    def send(self, peer: InstanceId, message: Message) -> None:
        """Send a one-way message without confirmation of its arrival."""

    def probe(self, peer: InstanceId, timeout: float) -> bool:
        """Return whether a peer answers a ping on a new connection in time.

        A stalled connection or a dead link tells nothing about the peer.
        """
