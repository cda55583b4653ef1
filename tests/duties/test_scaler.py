"""Orders of upstreams while zones lose them or the platform refuses."""

from guavagate.duties import Scaler
from guavagate.measure.fakes import MemoryStore, World
from guavagate.models import InstanceId, ServiceId, UpstreamId, ZoneId
from guavagate.ports.configuration import (
    Configuration,
    Route,
    RouteKind,
    Scaling,
    Service,
    ServiceShare,
)
from guavagate.ports.duties import (
    DutyAnswer,
    LeaseHolder,
    ScaleOrder,
    TeamCounts,
)
from guavagate.ports.upstreams import Upstream
from guavagate.rollouts import Lease, Renewals, TextSeconds, lease_path
from guavagate.routing import RouteTable, UpstreamTable

_SERVICE = ServiceId('llm')
_ZONES = tuple(ZoneId(name) for name in 'pqr')
_BOOT_SECONDS = 4.0
_SLOTS = 8


class _Platform:
    """Adds upstreams after their boot time; refuses in some zones."""

    def __init__(self, setup: '_Setup') -> None:
        self._setup = setup
        self.orders: list[ScaleOrder] = []
        self.spot_unavailable: set[ZoneId] = set()
        self.unresponsive = False
        self._number = 0

    def report_usage(
        self, holder: LeaseHolder, window: int, counts: TeamCounts
    ) -> DutyAnswer:
        """Accept no reports."""
        raise NotImplementedError

    def order(self, holder: LeaseHolder, order: ScaleOrder) -> DutyAnswer:
        """Execute or refuse an order."""
        self.orders.append(order)
        if self.unresponsive:
            return DutyAnswer.UNKNOWN
        if order.spot and order.amount and order.zone in self.spot_unavailable:
            return DutyAnswer.UNAVAILABLE
        clock = self._setup.clock
        clock.call_at(clock.now() + _BOOT_SECONDS, lambda: self._execute(order))
        return DutyAnswer.ACCEPTED

    def _execute(self, order: ScaleOrder) -> None:
        current = self._setup.list_kind(order.zone, spot=order.spot)
        for _ in range(order.amount - len(current)):
            self._number += 1
            name = f'{order.zone}-{order.spot}-{self._number}'
            self._setup.add(name, order.zone, spot=order.spot)
        for upstream in current[order.amount :]:
            self._setup.upstreams.remove(upstream.id)


class _Setup:
    """A scaler of one service in three zones."""

    def __init__(self) -> None:
        world = World()
        world.add('me')
        self.clock = world.clock
        self.upstreams = UpstreamTable(self.clock, _ZONES[0])
        self.routes = RouteTable()
        self.put_scaling(
            Scaling(
                min_upstreams=1,
                max_upstreams=16,
                boot_seconds=_BOOT_SECONDS,
                spot_price=0.2,
                zone_prices=dict.fromkeys(_ZONES, 1.0),
            )
        )
        self.platform = _Platform(self)
        self.open: dict[str, int] = {}
        self.texts: dict[str, TextSeconds] = {}
        self._world = world
        self.scaler = self.make_scaler('me')

    def make_scaler(self, name: str) -> Scaler:
        """Return the scaler of an instance; all share the store."""
        me = InstanceId(name)
        if name not in self._world.hosts:
            self._world.add(name)
        lease = Lease(
            MemoryStore(self.clock, self._world.store),
            lease_path(_SERVICE),
            me,
            3.0,
            Renewals(self._world.bus(name), self.clock.now),
            list,
            self.clock.now,
        )
        return Scaler(
            _SERVICE,
            me,
            self.clock,
            lease,
            self.routes,
            self.upstreams,
            self.platform,
            lambda: self.open,
            lambda: _SLOTS,
            lambda _: self.texts,
        )

    def put_scaling(self, scaling: Scaling | None) -> None:
        """Activate a configuration with these scaling settings."""
        service = Service(id=_SERVICE, scaling=scaling)
        route = Route(
            name='r',
            host='a.example',
            prefix='/x/',
            kind=RouteKind.JOB,
            shares=(ServiceShare(_SERVICE, 1),),
            timeout=10,
            objective=0.4,
            job_objective=7.5,
        )
        current = self.routes.configuration
        version = 1 if current is None else current.version + 1
        self.routes.apply(
            Configuration(version=version, services=(service,), routes=(route,))
        )

    def add(self, name: str, zone: ZoneId, *, spot: bool = False) -> None:
        """Register an upstream."""
        self.upstreams.put(
            Upstream(
                id=UpstreamId(name),
                service=_SERVICE,
                address='10.0.0.1:1',
                zone=zone,
                slots=_SLOTS,
                spot=spot,
            )
        )

    def fill(self, each: int = 8) -> None:
        """Register regular upstreams in each zone."""
        for zone in _ZONES:
            for number in range(each):
                self.add(f'{zone}-{number}', zone)

    def list_kind(self, zone: ZoneId, *, spot: bool) -> list[Upstream]:
        """Return a zone's spot or regular upstreams."""
        return [
            each
            for each in self.upstreams.serving(_SERVICE)
            if each.zone == zone and each.spot == spot
        ]

    def count(self, *, spot: bool) -> int:
        """Return the number of spot or regular upstreams."""
        return sum(len(self.list_kind(zone, spot=spot)) for zone in _ZONES)

    def start(self) -> None:
        """Start with eight regular upstreams in each zone."""
        self.fill()
        self.scaler.start()


def test_the_first_steps_get_slots() -> None:
    """Spot upstreams are ordered at the start, before any step arrives.

    The demand is unknown, and a boot takes too long to wait for the first step.
    """
    setup = _Setup()
    setup.start()
    setup.clock.advance(6)
    assert setup.count(spot=True) == 24


def test_spot_upstreams_are_released_without_demand() -> None:
    """No step comes; the upstreams ordered for it stay half a minute."""
    setup = _Setup()
    setup.start()
    setup.clock.advance(36)
    assert setup.count(spot=True) == 0
    assert setup.count(spot=False) == 24


def test_a_burst_beyond_the_slots_orders_spot_upstreams() -> None:
    """Three trainers submit at once; a third of their items gets no slot."""
    setup = _Setup()
    setup.start()
    setup.clock.advance(40)
    assert setup.count(spot=True) == 0
    setup.open = {'m0': 80, 'm1': 112, 'm2': 112}
    setup.clock.advance(6)
    assert setup.count(spot=True) * _SLOTS >= 304 - 24 * _SLOTS
    assert setup.count(spot=False) == 24


def test_late_registrations_do_not_scale_upstreams_away() -> None:
    """The owner starts and sees only a few of the running upstreams.

    With those few as its target, the platform would remove the others.
    """
    setup = _Setup()
    setup.fill(3)
    setup.scaler.start()
    setup.open = {'m0': 300}
    setup.clock.advance(1.2)
    setup.fill(8)
    setup.clock.advance(10)
    assert setup.count(spot=False) == 24
    assert all(
        order.amount >= 8 for order in setup.platform.orders if not order.spot
    )


def test_upstreams_stay_between_steps() -> None:
    """Between two steps no items are open."""
    setup = _Setup()
    setup.start()
    for _ in range(5):
        setup.open = {'m0': 400}
        setup.clock.advance(2)
        setup.open = {}
        setup.clock.advance(2)
    assert setup.count(spot=True) > 0
    assert len({each.amount for each in setup.platform.orders}) == 1


def test_upstreams_are_released_after_the_work() -> None:
    """Each upstream is billed by the second."""
    setup = _Setup()
    setup.start()
    setup.open = {'m0': 400}
    setup.clock.advance(40)
    assert setup.count(spot=True) > 0
    setup.open = {}
    setup.clock.advance(40)
    assert setup.count(spot=True) == 0
    assert setup.count(spot=False) == 24


def test_regular_upstreams_replace_reclaimed_spot_ones() -> None:
    """A zone's spot upstreams are reclaimed and unavailable for a while.

    The replacements are released when spot upstreams are available again.
    """
    setup = _Setup()
    setup.start()
    setup.open = {'m0': 380}
    setup.clock.advance(8)
    zone = _ZONES[1]
    setup.platform.spot_unavailable = {zone}
    for upstream in setup.list_kind(zone, spot=True):
        setup.upstreams.remove(upstream.id)
    setup.clock.advance(8)
    assert len(setup.list_kind(zone, spot=False)) == 16
    setup.platform.spot_unavailable = set()
    setup.clock.advance(35)
    assert len(setup.list_kind(zone, spot=False)) == 8
    assert len(setup.list_kind(zone, spot=True)) == 8


def test_orders_are_not_repeated_at_each_check() -> None:
    """Each call costs money, and the platform accepts few per second."""
    setup = _Setup()
    setup.start()
    setup.open = {'m0': 400}
    setup.clock.advance(25)
    assert len(setup.platform.orders) <= 6


def test_an_order_without_a_response_is_repeated() -> None:
    """The platform does not respond for ten seconds."""
    setup = _Setup()
    setup.start()
    setup.open = {'m0': 400}
    setup.platform.unresponsive = True
    setup.clock.advance(10)
    setup.platform.unresponsive = False
    setup.clock.advance(40)
    assert setup.count(spot=True) + setup.count(spot=False) >= 45


def test_a_service_without_scaling_orders_nothing() -> None:
    """Its configuration has no scaling settings."""
    setup = _Setup()
    setup.put_scaling(None)
    setup.start()
    setup.open = {'m0': 400}
    setup.clock.advance(10)
    assert not setup.platform.orders
