"""The process that the daemon runs on the platform, and its settings."""

from guavagate.platform._process import PlatformProcess
from guavagate.platform._settings import load_settings

__all__ = ('PlatformProcess', 'load_settings')
