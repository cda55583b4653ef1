"""Membership datagrams, authenticated by the cluster credential."""

import enum
import functools
import hashlib
import hmac
from typing import Final

import msgspec

from guavagate.helpers.addresses import is_address
from guavagate.helpers.decoding import make_msgpack_decoder
from guavagate.models import InstanceId, RegionId, ZoneId
from guavagate.settings import PeerSettings

WIRE_VERSION: Final = 1
MAC_BYTES: Final = 16
# Incarnations begin with a time in milliseconds and grow by one. A claim that
# can't be overruled by a larger one is false.
MAX_INCARNATION: Final = 10**15


class MemberState(enum.Enum):
    """State of a member; a higher value outranks a lower one."""

    ALIVE = 1
    LEAVING = 2
    SUSPECT = 3
    DEAD = 4


_STATES: Final = frozenset(each.value for each in MemberState)


class PacketType(enum.IntEnum):
    """Type of a datagram."""

    PING = 1
    ACK = 2
    PING_REQUEST = 3
    GOSSIP = 4
    SYNC = 5
    PAGE = 6


class Contact(msgspec.Struct, frozen=True, array_like=True):
    """A member's addresses and process.

    `boot` differs between successive processes with the same id.
    """

    availability_zone: ZoneId
    region: RegionId
    peer_address: str
    http_address: str
    boot: int = 0


class Update(msgspec.Struct, frozen=True, array_like=True):
    """A claim about a member; `by` is the instance that first made it."""

    id: InstanceId
    state: int
    incarnation: int
    by: InstanceId
    contact: Contact | None = None


class Packet(msgspec.Struct, frozen=True, array_like=True):
    """One datagram; add new fields at the end, each with a default.

    Parameters
    ----------
    state, incarnation, boot
        The sender's own.
    target
        The member that a probe or its answer is about; in SYNC the id after
        which the page starts, in PAGE the id of the page's last member.
    address
        The target's address, for an indirect probe.
    unknown
        The sender does not know the receiver and requests its contact.
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
_decoder: Final = make_msgpack_decoder(Packet)


def encode_packet(packet: Packet, credential: bytes) -> bytes:
    """Return the datagram: a message authentication code, then the packet."""
    body = _encoder.encode(packet)
    return _authenticate(body, credential) + body


def decode_packet(datagram: bytes, credential: bytes) -> Packet | None:
    """Return the packet, or None if it is not from this cluster.

    Claims are left out that this release doesn't understand, or whose address
    nothing can be sent to.
    """
    body = datagram[MAC_BYTES:]
    code = _authenticate(body, credential)
    if not hmac.compare_digest(code, datagram[:MAC_BYTES]):
        return None
    try:
        packet = _decoder(body)
    except msgspec.MsgspecError:
        return None
    if not _is_sound(packet.state, packet.incarnation):
        return None
    sound = tuple(filter(_is_sound_claim, packet.updates))
    if len(sound) == len(packet.updates):
        return packet
    return msgspec.structs.replace(packet, updates=sound)


def _is_sound_claim(claim: Update) -> bool:
    contact = claim.contact
    is_reachable = contact is None or is_address(contact.peer_address)
    return is_reachable and _is_sound(claim.state, claim.incarnation)


def _is_sound(state: int, incarnation: int) -> bool:
    return state in _STATES and incarnation <= MAX_INCARNATION


def describe_contact(peer: PeerSettings, boot: int) -> Contact:
    """Return a peer's contact in its wire format."""
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
