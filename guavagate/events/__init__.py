"""Numbered log events; `script/docs` generates docs/events.md from them.

Each area has its own module and range of numbers: 1000 routing and placement,
2000 partitions and ledger, 3000 membership and links, 4000 settings, 5000 the
HTTP edge, 6000 runs and weights, 7000 the data folder, 8000 forwarding and
upstreams, 9000 jobs and orders to samplers, 9200 usage reporting and scaling.
"""

from guavagate.events._event import Event, list_events, watch_events, write

__all__ = ('Event', 'list_events', 'watch_events', 'write')
