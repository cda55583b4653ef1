"""How digests of the revisions in force travel between instances.

They ride in the probes of the membership where it carries facts: the probes
go to random instances over datagrams, so no message is added and no
connection is kept for it. A membership without facts gets small messages to
random peers; over connections that would in time be one from each instance to
each other, so it is for small fleets and tests.
"""

import random
from collections.abc import Callable
from typing import Final, Protocol, runtime_checkable

import msgspec

from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId
from guavagate.settings._messages import SettingsDigest

DIGEST_PEERS: Final = 2
_FACT: Final = 'settings'
_BEATS: Final = 256

Heard = Callable[[InstanceId, int, bool], None]
SendDigest = Callable[[int, bool], None]


class _Fact(msgspec.Struct, frozen=True, array_like=True):
    """A digest; the beat changes each time, so that silence shows."""

    digest: int
    known: bool
    beat: int


@runtime_checkable
class FactMembership(Protocol):
    """A membership whose probes carry small values."""

    def set_fact(self, name: str, value: bytes) -> None:
        """Have a value carried from now on."""

    def facts(self, instance: InstanceId) -> dict[str, bytes]:
        """Return the values last heard from an instance."""

    def subscribe_facts(self, changed: Callable[[InstanceId], None]) -> None:
        """Call back, without blocking, when an instance's values change."""


def make_fact_sender(members: FactMembership, heard: Heard) -> SendDigest:
    """Return what sends digests in the membership's probes."""
    beats = 0

    def send(digest: int, known: bool) -> None:
        nonlocal beats
        beats = (beats + 1) % _BEATS
        fact = _Fact(digest, known, beats)
        members.set_fact(_FACT, msgspec.msgpack.encode(fact))

    def hear(instance: InstanceId) -> None:
        packed = members.facts(instance).get(_FACT)
        if packed is None:
            return
        try:
            fact = msgspec.msgpack.decode(packed, type=_Fact)
        except msgspec.DecodeError:
            return
        heard(instance, fact.digest, fact.known)

    members.subscribe_facts(hear)
    return send


def make_message_sender(
    bus: Bus,
    peers: Callable[[], list[InstanceId]],
    dice: random.Random,
    heard: Heard,
) -> SendDigest:
    """Return what sends digests to a few random peers."""

    def send(digest: int, known: bool) -> None:
        known_peers = peers()
        count = min(DIGEST_PEERS, len(known_peers))
        for peer in dice.sample(known_peers, count):
            bus.send(peer, SettingsDigest(digest=digest, known=known))

    def handle(sender: InstanceId, message: Message) -> None:
        digest = expect(message, SettingsDigest)
        heard(sender, digest.digest, digest.known)

    bus.register(SettingsDigest, handle)
    return send
