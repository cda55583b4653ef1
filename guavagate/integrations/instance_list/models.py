"""The instance list's protocol, as it is on the wire."""

import msgspec

from guavagate.models import InstanceId, RegionId, ZoneId
from guavagate.settings import PeerSettings


class ListedInstance(msgspec.Struct, frozen=True, kw_only=True):
    """One instance that the platform lists."""

    id: InstanceId
    availability_zone: ZoneId
    region: RegionId
    peer_address: str
    http_address: str
    state: str = 'live'

    def to_peer(self) -> PeerSettings:
        """Return the instance as its peers know it."""
        return PeerSettings(
            id=self.id,
            availability_zone=self.availability_zone,
            region=self.region,
            peer_address=self.peer_address,
            http_address=self.http_address,
        )


class ListBody(msgspec.Struct, frozen=True):
    """The whole list; entries that can't be read are left out."""

    instances: list[msgspec.Raw]
