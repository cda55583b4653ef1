"""Sends digests of the revisions in force to other instances.

If the membership supports facts, its probes carry the digests. Probes go to
random instances as datagrams, so this needs no extra message or connection.
Otherwise digests are sent as small messages to random peers. In time that
opens a connection between every two instances, so it suits only small fleets
and tests.
"""

import random
from collections.abc import Callable
from typing import Final, Protocol, runtime_checkable

import msgspec

from guavagate.helpers.decoding import decode_msgpack
from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId
from guavagate.settings._messages import SettingsDigest

DIGEST_PEERS: Final = 2
_FACT_NAME: Final = 'settings'
_COUNTER_MODULUS: Final = 256

DigestCallback = Callable[[InstanceId, int, bool], None]
SendDigest = Callable[[int, bool], None]


class _Fact(msgspec.Struct, frozen=True, array_like=True):
    """A digest; `beat` changes each time as a sign of life."""

    digest: int
    known: bool
    beat: int


@runtime_checkable
class FactMembership(Protocol):
    """A membership whose probes carry small values, called facts."""

    def set_fact(self, name: str, value: bytes) -> None:
        """Set a value that all further probes carry."""

    def facts(self, instance: InstanceId) -> dict[str, bytes]:
        """Return the values last received from an instance."""

    def subscribe_facts(self, changed: Callable[[InstanceId], None]) -> None:
        """Register a non-blocking callback for changes of facts."""


def make_fact_sender(
    members: FactMembership, on_digest: DigestCallback
) -> SendDigest:
    """Return a function that sends digests in the membership's probes."""
    counter = 0

    def send(digest: int, known: bool) -> None:
        nonlocal counter
        counter = (counter + 1) % _COUNTER_MODULUS
        fact = _Fact(digest, known, counter)
        members.set_fact(_FACT_NAME, msgspec.msgpack.encode(fact))

    def handle_fact(instance: InstanceId) -> None:
        packed = members.facts(instance).get(_FACT_NAME)
        if packed is None:
            return
        try:
            fact = decode_msgpack(packed, _Fact)
        except msgspec.DecodeError:
            return
        on_digest(instance, fact.digest, fact.known)

    members.subscribe_facts(handle_fact)
    return send


def make_message_sender(
    bus: Bus,
    peers: Callable[[], list[InstanceId]],
    rng: random.Random,
    on_digest: DigestCallback,
) -> SendDigest:
    """Return a function that sends digests to a few random peers."""

    def send(digest: int, known: bool) -> None:
        known_peers = peers()
        count = min(DIGEST_PEERS, len(known_peers))
        for peer in rng.sample(known_peers, count):
            bus.send(peer, SettingsDigest(digest=digest, known=known))

    def handle(sender: InstanceId, message: Message) -> None:
        digest = expect(message, SettingsDigest)
        on_digest(sender, digest.digest, digest.known)

    bus.register(SettingsDigest, handle)
    return send
