"""Orders of upstreams while zones lose theirs and platforms refuse."""

from guavagate.duties import Scaler
from guavagate.measure.fakes import MemoryStore, World
from guavagate.models import InstanceId, ServiceId, UpstreamId, ZoneId
from guavagate.ports.configuration import Configuration, Scaling, Service
from guavagate.ports.duties import Counts, DutyAnswer, Holder, ScaleOrder
from guavagate.ports.upstreams import Upstream
from guavagate.rollouts import Lease, Renewals, lease_path
from guavagate.routing import RouteTable, UpstreamTable

_SERVICE = ServiceId('llm')
_ZONES = tuple(ZoneId(name) for name in 'pqr')
_BOOT = 4.0
_SLOTS = 8


class _Platform:
    """Brings upstreams after their boot; refuses where the test says so."""

    def __init__(self, setting: '_Setting') -> None:
        self._setting = setting
        self.orders: list[ScaleOrder] = []
        self.none_in: set[ZoneId] = set()
        self.silent = False
        self._number = 0

    def report_usage(
        self, holder: Holder, window: int, counts: Counts
    ) -> DutyAnswer:
        """Take no reports."""
        raise NotImplementedError

    def order(self, holder: Holder, order: ScaleOrder) -> DutyAnswer:
        """Carry an order out, or not."""
        self.orders.append(order)
        if self.silent:
            return DutyAnswer.UNKNOWN
        if order.spot and order.amount and order.zone in self.none_in:
            return DutyAnswer.NOT_NOW
        clock = self._setting.clock
        clock.call_at(clock.now() + _BOOT, lambda: self._bring(order))
        return DutyAnswer.TAKEN

    def _bring(self, order: ScaleOrder) -> None:
        there = self._setting.list_kind(order.zone, spot=order.spot)
        for _ in range(order.amount - len(there)):
            self._number += 1
            name = f'{order.zone}-{order.spot}-{self._number}'
            self._setting.add(name, order.zone, spot=order.spot)
        for upstream in there[order.amount :]:
            self._setting.upstreams.remove(upstream.id)


class _Setting:
    """A service's owner that orders its upstreams."""

    def __init__(self) -> None:
        world = World()
        world.add('me')
        self.clock = world.clock
        self.upstreams = UpstreamTable(self.clock, _ZONES[0])
        self.routes = RouteTable()
        self.put_scaling(
            Scaling(
                least=1,
                most=16,
                boot=_BOOT,
                spot_price=0.2,
                zone_prices=dict.fromkeys(_ZONES, 1.0),
            )
        )
        self.platform = _Platform(self)
        self.open: dict[str, int] = {}
        me = InstanceId('me')
        lease = Lease(
            MemoryStore(self.clock, world.store),
            lease_path(_SERVICE),
            me,
            3.0,
            Renewals(world.bus('me'), self.clock.now),
            list,
            self.clock.now,
        )
        self.scaler = Scaler(
            _SERVICE,
            me,
            self.clock,
            lease,
            self.routes,
            self.upstreams,
            self.platform,
            lambda: self.open,
            lambda: _SLOTS,
        )

    def put_scaling(self, scaling: Scaling | None) -> None:
        """Put a sheet in force."""
        service = Service(id=_SERVICE, scaling=scaling)
        held = self.routes.configuration
        version = 1 if held is None else held.version + 1
        self.routes.apply(Configuration(version=version, services=(service,)))

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
        """Return a zone's upstreams of a kind."""
        return [
            each
            for each in self.upstreams.serving(_SERVICE)
            if each.zone == zone and each.spot == spot
        ]

    def count(self, *, spot: bool) -> int:
        """Return how many of a kind there are."""
        return sum(len(self.list_kind(zone, spot=spot)) for zone in _ZONES)

    def start(self) -> None:
        """Start with eight regular upstreams in each zone."""
        self.fill()
        self.scaler.start()


def test_the_first_steps_find_their_slots() -> None:
    """Nobody knows what they will ask for, and a boot takes seconds."""
    setting = _Setting()
    setting.start()
    setting.clock.advance(6)
    assert setting.count(spot=True) == 24


def test_nothing_is_asked_for_and_all_are_given_back() -> None:
    """No step comes; what was ordered for it costs half a minute."""
    setting = _Setting()
    setting.start()
    setting.clock.advance(36)
    assert setting.count(spot=True) == 0
    assert setting.count(spot=False) == 24


def test_a_burst_over_the_slots_brings_cheap_ones() -> None:
    """Three trainers submit at once; a third of their items finds no slot."""
    setting = _Setting()
    setting.start()
    setting.clock.advance(40)
    assert setting.count(spot=True) == 0
    setting.open = {'m0': 80, 'm1': 112, 'm2': 112}
    setting.clock.advance(6)
    assert setting.count(spot=True) * _SLOTS >= 304 - 24 * _SLOTS
    assert setting.count(spot=False) == 24


def test_registrations_come_one_by_one_and_none_is_sent_away() -> None:
    """The owner starts and knows of a few only; the rest is there all along.

    A target of those few would have the platform take the others away.
    """
    setting = _Setting()
    setting.fill(3)
    setting.scaler.start()
    setting.open = {'m0': 300}
    setting.clock.advance(1.2)
    setting.fill(8)
    setting.clock.advance(10)
    assert setting.count(spot=False) == 24
    assert all(
        order.amount >= 8 for order in setting.platform.orders if not order.spot
    )


def test_a_trainer_pauses_and_comes_back_to_its_upstreams() -> None:
    """Between two steps nothing is open; what was ordered stays."""
    setting = _Setting()
    setting.start()
    for _ in range(5):
        setting.open = {'m0': 400}
        setting.clock.advance(2)
        setting.open = {}
        setting.clock.advance(2)
    assert setting.count(spot=True) > 0
    assert len({each.amount for each in setting.platform.orders}) == 1


def test_the_work_ends_and_they_are_given_back() -> None:
    """Each of them is billed by the second."""
    setting = _Setting()
    setting.start()
    setting.open = {'m0': 400}
    setting.clock.advance(40)
    assert setting.count(spot=True) > 0
    setting.open = {}
    setting.clock.advance(40)
    assert setting.count(spot=True) == 0
    assert setting.count(spot=False) == 24


def test_a_zone_loses_its_cheap_ones_and_regular_ones_stand_in() -> None:
    """All of a zone's are reclaimed, and none are to be had there for a while.

    What stands in is given back when they can be had again.
    """
    setting = _Setting()
    setting.start()
    setting.open = {'m0': 380}
    setting.clock.advance(8)
    zone = _ZONES[1]
    setting.platform.none_in = {zone}
    for upstream in setting.list_kind(zone, spot=True):
        setting.upstreams.remove(upstream.id)
    setting.clock.advance(8)
    assert len(setting.list_kind(zone, spot=False)) == 16
    setting.platform.none_in = set()
    setting.clock.advance(35)
    assert len(setting.list_kind(zone, spot=False)) == 8
    assert len(setting.list_kind(zone, spot=True)) == 8


def test_orders_are_not_repeated_at_each_look() -> None:
    """Each call is priced, and the platform takes few a second."""
    setting = _Setting()
    setting.start()
    setting.open = {'m0': 400}
    setting.clock.advance(25)
    assert len(setting.platform.orders) <= 6


def test_an_order_without_an_answer_is_stated_again() -> None:
    """The platform is silent for ten seconds."""
    setting = _Setting()
    setting.start()
    setting.open = {'m0': 400}
    setting.platform.silent = True
    setting.clock.advance(10)
    setting.platform.silent = False
    setting.clock.advance(40)
    assert setting.count(spot=True) + setting.count(spot=False) >= 45


def test_a_service_that_is_not_scaled_orders_nothing() -> None:
    """The sheet says nothing of scaling."""
    setting = _Setting()
    setting.put_scaling(None)
    setting.start()
    setting.open = {'m0': 400}
    setting.clock.advance(10)
    assert not setting.platform.orders
