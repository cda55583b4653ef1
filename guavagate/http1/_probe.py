"""Tells a process that has ended from one that can't be reached."""

from typing import Final

from gevent import socket

from guavagate.helpers.addresses import split_address

# A refusal takes a round trip; no answer at all means a partition or a machine
# without power.
PROBE_SECONDS: Final = 0.5


def refuses_connections(address: str) -> bool:
    """Return whether no process listens at an address; one may be cut off."""
    try:
        probe = socket.create_connection(split_address(address), PROBE_SECONDS)
    except ConnectionRefusedError:
        return True
    except (OSError, ValueError):
        return False
    probe.close()
    return False
