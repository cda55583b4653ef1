"""Membership without probes, from the peers in the settings."""

from collections.abc import Callable

from guavagate.models import InstanceId
from guavagate.settings import InstanceSettings, PeerSettings


def make_peer_settings(settings: InstanceSettings) -> PeerSettings:
    """Return an instance's settings as its peers see them."""
    return PeerSettings(
        id=settings.id,
        availability_zone=settings.availability_zone,
        region=settings.region,
        peer_address=settings.peer_address,
        http_address=settings.http_address,
    )


class StaticMembers:
    """Treats all configured peers as usable; for tests of other parts."""

    def __init__(self, settings: InstanceSettings) -> None:
        known = {peer.id: peer for peer in settings.peers}
        known[settings.id] = make_peer_settings(settings)
        self._known = dict(sorted(known.items()))

    def alive(self) -> list[PeerSettings]:
        """Return all instances, ordered by id."""
        return list(self._known.values())

    def get(self, instance: InstanceId) -> PeerSettings | None:
        """Return an instance, or None if it is unknown."""
        return self._known.get(instance)

    def address(self, instance: InstanceId) -> str | None:
        """Return the address at which the instance listens for peers."""
        peer = self._known.get(instance)
        return None if peer is None else peer.peer_address

    def subscribe(self, changed: Callable[[], None]) -> None:
        """Ignore the callback: these members never change."""
