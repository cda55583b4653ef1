"""Datagrams of the membership, authenticated by the cluster credential."""

import enum
import functools
import hashlib
import hmac
from typing import Final

import msgspec

from guavagate.models import InstanceId, RegionId, ZoneId
from guavagate.settings import PeerSettings

WIRE_VERSION: Final = 1
MAC_BYTES: Final = 16


class MemberState(enum.Enum):
    """What an instance holds of another; later ones outrank earlier ones."""

    ALIVE = 1
    LEAVING = 2
    SUSPECT = 3
    DEAD = 4


class Act(enum.IntEnum):
    """What a datagram asks or tells."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3
    GOSSIP = 4
    SYNC = 5
    PAGE = 6


class Contact(msgspec.Struct, frozen=True, array_like=True):
    """Where a member is, and which process it is.

    `boot` differs between two processes that carry the same id in turn.
    """

    availability_zone: ZoneId
    region: RegionId
    peer_address: str
    http_address: str
    boot: int = 0


class Update(msgspec.Struct, frozen=True, array_like=True):
    """One claim about a member; `by` is the instance that made it first."""

    id: InstanceId
    state: int
    incarnation: int
    by: InstanceId
    contact: Contact | None = None


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """One datagram; new fields go to the end, each with a default.

    Parameters
    ----------
    state, incarnation, boot
        The sender's own.
    target
        The member asked about or answered for; in SYNC and PAGE the id
        after which the page starts.
    address
        Where a helper finds the target.
    unknown
        The sender does not know whom it writes to and asks for its contact.
    """

    version: int
    act: int
    sender: InstanceId
    state: int
    incarnation: int
    boot: int = 0
    sequence: int = 0
    target: InstanceId = InstanceId('')
    address: str = ''
    unknown: bool = False
    updates: tuple[Update, ...] = ()
    facts: dict[str, bytes] = {}  # noqa: WPS234


_encoder: Final = msgspec.msgpack.Encoder()
_decoder: Final = msgspec.msgpack.Decoder(Packet)


def encode_packet(packet: Packet, credential: bytes) -> bytes:
    """Return the datagram: a message authentication code, then the packet."""
    body = _encoder.encode(packet)
    return _authenticate(body, credential) + body


def decode_packet(datagram: bytes, credential: bytes) -> Packet | None:
    """Return the packet, or nothing when it is not from our cluster."""
    body = datagram[MAC_BYTES:]
    code = _authenticate(body, credential)
    if not hmac.compare_digest(code, datagram[:MAC_BYTES]):
        return None
    try:
        return _decoder.decode(body)
    except msgspec.MsgspecError:
        return None


def describe_contact(peer: PeerSettings, boot: int) -> Contact:
    """Return a peer's contact as it travels."""
    return Contact(
        peer.availability_zone,
        peer.region,
        peer.peer_address,
        peer.http_address,
        boot,
    )


def restore_peer(instance: InstanceId, contact: Contact) -> PeerSettings:
    """Return the peer that a contact describes."""
    return PeerSettings(
        id=instance,
        availability_zone=contact.availability_zone,
        region=contact.region,
        peer_address=contact.peer_address,
        http_address=contact.http_address,
    )


@functools.lru_cache(maxsize=8)
def _make_key(credential: bytes) -> bytes:
    return hashlib.blake2b(credential, digest_size=32).digest()


def _authenticate(body: bytes, credential: bytes) -> bytes:
    key = _make_key(credential)
    return hashlib.blake2b(body, digest_size=MAC_BYTES, key=key).digest()
