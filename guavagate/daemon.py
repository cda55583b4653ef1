"""``guavagated``: runs one instance as a process."""

import logging
import os
import signal
import sys
from pathlib import Path
from typing import Protocol

from guavagate.helpers.early_signals import record_early_signals
from guavagate.helpers.listeners import listen_early
from guavagate.platform.listen_addresses import read_listen_addresses

# A SIGHUP would end a process that has no handler yet, and the imports and the
# start take a second.
early_reloads = record_early_signals(signal.SIGHUP)

# The same backlog as the HTTP servers use.
if '--on-platform' in sys.argv:
    listen_early(read_listen_addresses(), backlog=1024)

from guavagate.helpers.patching import patch_blocking_calls  # noqa: E402

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

# Run as a script, this module is `__main__`, whose logger has no handler.
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
    # The remaining tasks only wait; joining them would exceed the time limit
    # of a planned stop.
    os._exit(0)


class Stoppable(Protocol):
    """An instance process that the daemon can start and stop."""

    def start(self) -> None:
        """Start all parts."""

    def request_stop(self) -> None:
        """Start a planned stop without waiting for it."""

    def wait_stop_requested(self) -> None:
        """Block until a planned stop is requested."""

    def reload(self, path: str) -> None:
        """Handle a changed settings file."""

    def stop(self) -> None:
        """Stop without cutting a request."""


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
    stop_requested = Event()

    def handle_terminate() -> None:
        write(_LOGGER, events.STOP_PROGRESS, phase='asked')
        stop_requested.set()
        process.request_stop()

    def handle_interrupt() -> None:
        # A second Ctrl-C ends the process at once. A repeated SIGTERM from a
        # supervisor must not cut the requests in flight.
        if stop_requested.is_set():
            sys.exit(1)
        handle_terminate()

    gevent.signal_handler(signal.SIGTERM, handle_terminate)
    gevent.signal_handler(signal.SIGINT, handle_interrupt)
    gevent.signal_handler(
        signal.SIGHUP, lambda: process.reload(str(settings_file))
    )
    if early_reloads:
        process.reload(str(settings_file))
    process.wait_stop_requested()
    process.stop()


if __name__ == '__main__':
    main()
