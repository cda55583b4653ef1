"""Patches the standard library's blocking calls for gevent."""

from gevent import events as gevent_events
from gevent import monkey


def patch_blocking_calls() -> None:
    """Have the standard library's blocking calls let other tasks run.

    Before and after each of its steps gevent looks for plugins among all
    installed packages, 25 times in all. That was two thirds of the processor
    time of a start, 0.3 s of it on half a core, in which a restarted instance
    serves nobody. No plugin is wanted, so its subscribers alone are told.
    """
    looking_up = gevent_events.notify_and_call_entry_points
    gevent_events.notify_and_call_entry_points = gevent_events.notify
    try:
        monkey.patch_all()
    finally:
        gevent_events.notify_and_call_entry_points = looking_up
