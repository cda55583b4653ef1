"""Admission control for tests of what uses it."""

from guavagate.admission import ServiceAdmission
from guavagate.clock import Clock
from guavagate.measure.fakes import World
from guavagate.metrics import Metrics
from guavagate.models import InstanceId
from guavagate.routing import RouteTable, UpstreamTable


def make_admission(
    clock: Clock, routes: RouteTable, upstreams: UpstreamTable
) -> ServiceAdmission:
    """Return the admission control of a fleet of one instance."""
    world, me = World(), InstanceId('me')
    world.add(me)
    bus, members = world.bus(me), world.members[me]
    return ServiceAdmission(
        clock, bus, members, me, routes, upstreams, Metrics()
    )
