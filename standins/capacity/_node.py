"""Process that runs only the bus and the membership of an instance."""

import json
import sys
from collections.abc import Callable

import gevent

from guavagate.clock import SystemClock
from guavagate.links import ZmqBus
from guavagate.membership import Membership
from guavagate.settings import load_instance_settings

_CREDENTIAL = b'capacity'


def main() -> None:
    """Run until standard input closes; print the totals for each line."""
    settings = load_instance_settings(sys.argv[1])
    clock = SystemClock()
    membership = Membership(settings, clock, _CREDENTIAL)
    bus = ZmqBus(
        settings.id,
        settings.peer_address,
        membership.address,
        clock,
        _CREDENTIAL,
    )
    bus.start()
    membership.start()

    def read_totals() -> dict[str, int]:
        both = (bus.traffic, membership.traffic)
        return {
            'alive': len(membership.alive()),
            'messages': sum(each.sent + each.received for each in both),
            'bytes': sum(
                each.sent_bytes + each.received_bytes for each in both
            ),
        }

    _report(read_totals)
    membership.stop()
    bus.stop()


def _report(read_totals: Callable[[], dict[str, int]]) -> None:
    pool = gevent.get_hub().threadpool
    while pool.apply(sys.stdin.readline):
        sys.stdout.write(f'{json.dumps(read_totals())}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
