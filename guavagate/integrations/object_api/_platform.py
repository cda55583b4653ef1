"""Makes the client from an instance's settings."""

from collections.abc import Callable
from pathlib import Path

from guavagate.clock import Clock
from guavagate.exceptions import SettingsError
from guavagate.integrations.object_api._client import ObjectApi
from guavagate.integrations.object_api._transport import connect_http
from guavagate.integrations.object_api.models import Transport
from guavagate.settings import PlatformSettings


def read_credential(platform: PlatformSettings) -> str:
    """Return the platform's credential, empty when no file is set.

    Raises
    ------
    SettingsError
        The file can't be read.
    """
    if not platform.credentials_file:
        return ''
    try:
        return Path(platform.credentials_file).read_text().strip()
    except OSError as error:
        raise SettingsError(
            f'platform.credentials_file can not be read ({error})',
            'name a file that the daemon may read',
        ) from error


def connect_platform(platform: PlatformSettings, clock: Clock) -> Transport:
    """Return what carries calls to the platform."""
    credential = read_credential(platform)
    return connect_http(platform.object_api, credential, clock)


def make_store(
    platform: PlatformSettings,
    clock: Clock,
    fleet_size: Callable[[], int] = int,
) -> ObjectApi:
    """Return the store that the platform settings name.

    Parameters
    ----------
    fleet_size
        How many instances share the platform's rate now; 0 when not known.
    """
    return ObjectApi(connect_platform(platform, clock), clock, fleet_size)
