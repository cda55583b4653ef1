"""``guavagated``: one instance as a process."""

import logging
import os
import signal
import sys
from pathlib import Path
from typing import Protocol

from guavagate.helpers.listeners import listen_early
from guavagate.platform.listen_addresses import read_listen_addresses

# As many connections as a server of ours lets wait.
if '--on-platform' in sys.argv:
    listen_early(read_listen_addresses(), backlog=1024)

from guavagate.helpers.patching import patch_blocking_calls

patch_blocking_calls()

import click  # noqa: E402
import gevent  # noqa: E402
from gevent.event import Event  # noqa: E402

from guavagate import __version__  # noqa: E402
from guavagate.events import edge as events  # noqa: E402
from guavagate.events import write  # noqa: E402
from guavagate.exceptions import GuavagateError  # noqa: E402
from guavagate.helpers.logs import set_up_logging  # noqa: E402
from guavagate.platform.const import SETTINGS_VARIABLE  # noqa: E402

# Run by its name this module is `__main__`, of which nothing is logged.
_LOGGER = logging.getLogger('guavagate.daemon')


@click.command()
@click.version_option(__version__)
@click.option(
    '--settings',
    'settings_file',
    envvar=SETTINGS_VARIABLE,
    required=True,
    type=click.Path(path_type=Path, dir_okay=False),
    help="TOML file with this instance's own settings.",
)
@click.option(
    '--on-platform',
    is_flag=True,
    help="Run on the users' platform; the file is the platform's.",
)
@click.option(
    '--log-level',
    default='info',
    show_default=True,
    type=click.Choice(['debug', 'info', 'warning', 'error']),
    help='Least level that is logged.',
)
def main(settings_file: Path, on_platform: bool, log_level: str) -> None:
    """Run one guavagate instance until SIGTERM or SIGINT.

    The first signal starts a planned stop that cuts no request; a SIGINT after
    it ends the process at once.
    """
    level = logging.getLevelName(log_level.upper())
    try:
        make = _make_on_platform if on_platform else _make_instance
        process = make(settings_file, level)
        process.start()
    except (GuavagateError, OSError) as error:
        raise click.ClickException(str(error)) from error
    write(_LOGGER, events.EDGE_LISTENING, settings=str(settings_file))
    _serve(process, settings_file)
    logging.shutdown()
    # What still runs here are tasks that wait; joining them would outlast
    # the time that a planned stop is given.
    os._exit(0)


class Stoppable(Protocol):
    """What the daemon runs."""

    def start(self) -> None:
        """Start every part."""

    def request_stop(self) -> None:
        """Begin a planned stop; returns at once."""

    def wait_stop_requested(self) -> None:
        """Block until a planned stop is asked for."""

    def reload(self, path: str) -> None:
        """Read the settings file again."""

    def stop(self) -> None:
        """Stop as planned."""


def _make_instance(settings_file: Path, level: int) -> Stoppable:
    from guavagate.assembly import Process
    from guavagate.settings import load_instance_settings

    settings = load_instance_settings(settings_file)
    set_up_logging(settings.log_format, level)
    return Process(settings)


def _make_on_platform(settings_file: Path, level: int) -> Stoppable:
    from guavagate.platform.process import PlatformProcess, load_settings

    set_up_logging('json', level, sys.stdout)
    return PlatformProcess(load_settings(str(settings_file)))


def _serve(process: Stoppable, settings_file: Path) -> None:
    asked = Event()

    def ask() -> None:
        write(_LOGGER, events.STOP_PROGRESS, phase='asked')
        asked.set()
        process.request_stop()

    def interrupt() -> None:
        # A person at the keyboard who asks twice wants it to end now; a
        # supervisor that sends SIGTERM again must not cut what is held.
        if asked.is_set():
            sys.exit(1)
        ask()

    gevent.signal_handler(signal.SIGTERM, ask)
    gevent.signal_handler(signal.SIGINT, interrupt)
    gevent.signal_handler(
        signal.SIGHUP, lambda: process.reload(str(settings_file))
    )
    process.wait_stop_requested()
    process.stop()


if __name__ == '__main__':
    main()
