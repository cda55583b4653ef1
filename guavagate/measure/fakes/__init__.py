"""Deterministic fakes of the interfaces, driven by one paused clock.

The same seed replays the same run. ``World`` creates ``Host`` objects. Each
has its own clock, bus, store and members, so that one instance can be paused
or killed while the others run.
"""

from guavagate.measure.fakes._bus import FakeBus, Network
from guavagate.measure.fakes._host import Host, HostClock
from guavagate.measure.fakes._store import MemoryStore, StoreState
from guavagate.measure.fakes._world import (
    FakeDecisionLog,
    FakeMembers,
    FakeTeams,
    World,
)

__all__ = (
    'FakeBus',
    'FakeMembers',
    'FakeTeams',
    'Host',
    'HostClock',
    'MemoryStore',
    'Network',
    'FakeDecisionLog',
    'StoreState',
    'World',
)
