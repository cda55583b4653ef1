"""Reads the listen addresses before the rest of the program is loaded."""

import os
import tomllib

from guavagate.platform.const import SETTINGS_VARIABLE


def read_listen_addresses() -> list[str]:
    """Return the addresses for callers and the balancer; none on an error.

    Once the program is loaded, it reads and validates the settings again.
    """
    try:
        with open(os.environ.get(SETTINGS_VARIABLE, ''), 'rb') as file:
            listen = dict(tomllib.load(file).get('listen', {}))
    except (OSError, TypeError, ValueError):
        return []
    found = (listen.get('front'), listen.get('ready'))
    return [each for each in found if isinstance(each, str) and each]
