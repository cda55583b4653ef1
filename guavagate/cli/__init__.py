"""The operators' command-line tool."""

from guavagate.cli._context import CliSettings
from guavagate.cli._main import main

__all__ = ('CliSettings', 'main')
