"""Which addresses a process listens at, read before the rest is loaded."""

import os
import tomllib

from guavagate.platform.const import SETTINGS_VARIABLE


def read_listen_addresses() -> list[str]:
    """Return where callers and the balancer come; none where that is unclear.

    The settings are read again, and judged, once the program is loaded.
    """
    try:
        with open(os.environ.get(SETTINGS_VARIABLE, ''), 'rb') as file:
            listen = dict(tomllib.load(file).get('listen', {}))
    except (OSError, TypeError, ValueError):
        return []
    found = (listen.get('front'), listen.get('ready'))
    return [each for each in found if isinstance(each, str) and each]
