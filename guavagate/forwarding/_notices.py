"""Tells all instances that a service is unresponsive, or works again.

Load pattern: sixty instances share three upstreams that hang, and each sends
them a request every ten seconds. Each would learn of the outage from a request
that it held, and the outage is over before most have learned anything.

The instance that finds it sends a notice to two hubs, which pass it on, as
`quarantine` does with its findings. A notice is a hint: whoever receives it
asks an upstream itself before it refuses a request.
"""

from collections.abc import Callable, Sequence
from typing import Final

from guavagate.clock import Clock
from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId, ServiceId

HUBS: Final = 2
# Several instances find the same within this time; one message is enough.
REPEAT_SECONDS: Final = 0.5


class ServiceNotice(Message, frozen=True, kw_only=True):
    """What an instance found out about a service.

    Attributes
    ----------
    relayed
        Whether a hub passes this on; otherwise the receiver is to do so.
    """

    service: ServiceId = ServiceId('')
    finder: InstanceId = InstanceId('')
    unresponsive: bool = True
    relayed: bool = False


class ServiceNotices:
    """Sends notices to the hubs, and passes them on if this is one.

    Parameters
    ----------
    order
        Returns the live instances, this one included; the first are the hubs.
    """

    def __init__(
        self,
        clock: Clock,
        bus: Bus,
        me: InstanceId,
        order: Callable[[], Sequence[InstanceId]],
    ) -> None:
        self._clock = clock
        self._bus = bus
        self.me = me
        self._order = order
        self._subscribers: list[Callable[[ServiceNotice], None]] = []
        # The newest notice of each service that was passed on, and when.
        self._passed_on: dict[ServiceId, tuple[bool, float]] = {}
        bus.register(ServiceNotice, self._on_notice)

    def subscribe(self, callback: Callable[[ServiceNotice], None]) -> None:
        """Call `callback`, which must not block, with others' notices."""
        self._subscribers.append(callback)

    def send(self, service: ServiceId, *, unresponsive: bool) -> None:
        """Have all instances receive what this one found."""
        notice = ServiceNotice(
            service=service, finder=self.me, unresponsive=unresponsive
        )
        hubs = self._order()[:HUBS]
        if self.me in hubs:
            self._pass_on(notice)
        for hub in hubs:
            if hub != self.me:
                self._bus.send(hub, notice)

    def _on_notice(self, _: InstanceId, message: Message) -> None:
        notice = expect(message, ServiceNotice)
        for callback in self._subscribers:
            callback(notice)
        if not notice.relayed:
            self._pass_on(notice)

    def _pass_on(self, notice: ServiceNotice) -> None:
        now = self._clock.now()
        state, at = self._passed_on.get(notice.service, (None, 0))
        if state == notice.unresponsive and now - at < REPEAT_SECONDS:
            return
        self._passed_on[notice.service] = notice.unresponsive, now
        relayed = ServiceNotice(
            service=notice.service,
            finder=notice.finder,
            unresponsive=notice.unresponsive,
            relayed=True,
        )
        for instance in self._order():
            if instance not in {self.me, notice.finder}:
                self._bus.send(instance, relayed)
