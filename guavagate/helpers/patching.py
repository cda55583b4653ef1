"""Patches the standard library's blocking calls for gevent."""

from gevent import events as gevent_events
from gevent import monkey


def patch_blocking_calls() -> None:
    """Make the standard library's blocking calls yield to other tasks.

    Around each patching step, gevent searches all installed packages for
    plugins, 25 times in total. That took two thirds of the CPU time of a start
    (0.3 s on half a core), during which a restarted instance serves no
    callers. guavagate needs no plugins, so only the subscribers of gevent's
    events are notified.
    """
    original_notify = gevent_events.notify_and_call_entry_points
    gevent_events.notify_and_call_entry_points = gevent_events.notify
    try:
        monkey.patch_all()
    finally:
        gevent_events.notify_and_call_entry_points = original_notify
