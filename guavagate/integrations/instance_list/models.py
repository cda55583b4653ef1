"""Messages of the instance list's protocol."""

import msgspec

from guavagate.models import InstanceId, RegionId, ZoneId
from guavagate.settings import PeerSettings


class ListedInstance(msgspec.Struct, frozen=True, kw_only=True):
    """An instance in the platform's list."""

    id: InstanceId
    availability_zone: ZoneId
    region: RegionId
    peer_address: str
    http_address: str
    state: str = 'live'

    def to_peer(self) -> PeerSettings:
        """Return the instance as peer settings."""
        return PeerSettings(
            id=self.id,
            availability_zone=self.availability_zone,
            region=self.region,
            peer_address=self.peer_address,
            http_address=self.http_address,
        )


class ListBody(msgspec.Struct, frozen=True):
    """The list, with its entries still encoded: some may be malformed."""

    instances: list[msgspec.Raw]
