"""Spreads findings to all instances through two of them.

Load pattern: an upstream with requests of twenty instances ends in a fleet of
hundreds. If each of the twenty told all others, thousands of links would be
opened at once. Each tells two hubs instead, which have links to all instances
already because they relay the configuration, and these pass on in one message
what arrives within a short time. One hub is enough; the other covers its loss.
"""

from collections.abc import Callable, Sequence
from typing import Final

from guavagate.clock import Clock
from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId
from guavagate.quarantine._messages import Findings

HUBS: Final = 2
# What several instances report about one end arrives within this time.
GATHER_SECONDS: Final = 0.03


class Hubs:
    """Sends findings to the hubs, and passes them on if this is one.

    Parameters
    ----------
    order
        Returns the live instances, this one included; the first are the hubs.
    apply
        Called with all findings, also those of this instance; must not block.
    """

    def __init__(
        self,
        clock: Clock,
        bus: Bus,
        me: InstanceId,
        order: Callable[[], Sequence[InstanceId]],
        apply: Callable[[Findings], None],
    ) -> None:
        self._clock = clock
        self._bus = bus
        self._me = me
        self._order = order
        self._apply = apply
        self._gathered: list[Findings] = []
        bus.register(Findings, self._on_findings)

    @property
    def place(self) -> int | None:
        """Return the place of this instance among the hubs, or `None`."""
        hubs = self._order()[:HUBS]
        return hubs.index(self._me) if self._me in hubs else None

    def report(self, findings: Findings) -> None:
        """Apply findings of this instance, and have them spread."""
        self._apply(findings)
        if self.place is not None:
            self._gather(findings)
        for hub in self._order()[:HUBS]:
            if hub != self._me:
                self._bus.send(hub, findings)

    def _on_findings(self, _: InstanceId, message: Message) -> None:
        findings = expect(message, Findings)
        self._apply(findings)
        if not findings.relayed:
            self._gather(findings)

    def _gather(self, findings: Findings) -> None:
        self._gathered.append(findings)
        if len(self._gathered) == 1:
            self._clock.spawn(self._pass_on)

    def _pass_on(self) -> None:
        self._clock.sleep(GATHER_SECONDS)
        gathered, self._gathered = self._gathered, []
        findings = Findings(
            ends=tuple(end for each in gathered for end in each.ends),
            answers=tuple(one for each in gathered for one in each.answers),
            stops=tuple(stop for each in gathered for stop in each.stops),
            relayed=True,
        )
        for instance in self._order():
            if instance != self._me:
                self._bus.send(instance, findings)
