"""``guavagated``: one instance as a process."""

import logging
import signal
import sys
from pathlib import Path

from gevent import monkey

monkey.patch_all()

import click  # noqa: E402
import gevent  # noqa: E402
from gevent.event import Event  # noqa: E402

from guavagate import __version__  # noqa: E402
from guavagate.assembly import Process  # noqa: E402
from guavagate.events import edge as events  # noqa: E402
from guavagate.events import write  # noqa: E402
from guavagate.exceptions import GuavagateError  # noqa: E402
from guavagate.helpers.logs import set_up_logging  # noqa: E402
from guavagate.settings import load_instance_settings  # noqa: E402

_LOGGER = logging.getLogger(__name__)


@click.command()
@click.version_option(__version__)
@click.option(
    '--settings',
    'settings_file',
    required=True,
    type=click.Path(path_type=Path, dir_okay=False),
    help="TOML file with this instance's own settings.",
)
@click.option(
    '--log-level',
    default='info',
    show_default=True,
    type=click.Choice(['debug', 'info', 'warning', 'error']),
    help='Least level that is logged.',
)
def main(settings_file: Path, log_level: str) -> None:
    """Run one guavagate instance until SIGTERM or SIGINT.

    The first signal starts a planned stop that cuts no request; a second one
    ends the process at once.
    """
    try:
        settings = load_instance_settings(settings_file)
        set_up_logging(
            settings.log_format, logging.getLevelName(log_level.upper())
        )
        process = Process(settings)
        process.start()
    except (GuavagateError, OSError) as error:
        raise click.ClickException(str(error)) from error
    write(_LOGGER, events.EDGE_LISTENING, address=settings.http_address)
    _serve(process)


def _serve(process: Process) -> None:
    asked = Event()

    def ask() -> None:
        if asked.is_set():
            sys.exit(1)
        asked.set()
        process.ask_to_stop()

    for number in (signal.SIGTERM, signal.SIGINT):
        gevent.signal_handler(number, ask)
    process.wait_asked()
    process.stop()


if __name__ == '__main__':
    main()
