"""One instance of nothing but the bus and the membership."""

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
    """Run until the end of the input; report once for each line of it."""
    settings = load_instance_settings(sys.argv[1])
    clock = SystemClock()
    members = Membership(settings, clock, _CREDENTIAL)
    bus = ZmqBus(
        settings.id,
        settings.peer_address,
        members.address,
        clock,
        _CREDENTIAL,
    )
    bus.start()
    members.start()

    def look() -> dict[str, int]:
        both = (bus.traffic, members.traffic)
        return {
            'alive': len(members.alive()),
            'messages': sum(each.sent + each.received for each in both),
            'bytes': sum(
                each.sent_bytes + each.received_bytes for each in both
            ),
        }

    _report(look)
    members.stop()
    bus.stop()


def _report(look: Callable[[], dict[str, int]]) -> None:
    pool = gevent.get_hub().threadpool
    while pool.apply(sys.stdin.readline):
        sys.stdout.write(f'{json.dumps(look())}\n')
        sys.stdout.flush()


if __name__ == '__main__':
    main()
