"""Roles of a stand-in process and its command line."""

import signal
from collections.abc import Callable
from typing import Any

import click
import falcon
import gevent
import msgspec
from gevent.event import Event

from standins import (
    caller,
    engine,
    object_api,
    plain,
    relay,
    scoring,
    trainer,
    weights,
)
from standins._web import serve

ServerRole = tuple[type[msgspec.Struct], Callable[[Any], falcon.App]]
ClientRole = tuple[type[msgspec.Struct], Callable[[Any, Event], None]]

SERVER_ROLES: dict[str, ServerRole] = {
    'object-api': (object_api.ObjectApiOptions, object_api.make_app),
    'engine': (engine.EngineOptions, engine.make_app),
    'plain': (plain.PlainOptions, plain.make_app),
    'relay': (relay.RelayOptions, relay.make_app),
    'scoring': (scoring.ScoringOptions, scoring.make_app),
    'weights': (weights.WeightStoreOptions, weights.make_app),
}


CLIENT_ROLES: dict[str, ClientRole] = {
    'caller': (caller.CallerOptions, caller.run),
    'trainer': (trainer.TrainerOptions, trainer.run),
}


def read_options(
    role: str, kind: type[msgspec.Struct], pairs: dict[str, str]
) -> msgspec.Struct:
    """Convert the options of a role from text."""
    try:
        return msgspec.convert(pairs, kind, strict=False)
    except msgspec.ValidationError as error:
        names = ', '.join(kind.__struct_fields__)
        raise click.BadParameter(
            f'{error}; the options of {role} are {names}'
        ) from error


@click.command()
@click.argument(
    'role', type=click.Choice(sorted((*SERVER_ROLES, *CLIENT_ROLES)))
)
@click.option('--listen', default='', help='127.0.0.1:PORT, port 0 for any')
@click.argument('options', nargs=-1, metavar='[OPTION=VALUE …]')
def main(role: str, listen: str, options: tuple[str, ...]) -> None:
    """Run one stand-in until SIGINT or SIGTERM.

    Server roles print their address first. Callers and trainers don't listen;
    they complete their open requests before they exit.
    """
    pairs = dict(option.partition('=')[::2] for option in options)
    stopped = Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(number, stopped.set)
    if role in CLIENT_ROLES:
        kind, run = CLIENT_ROLES[role]
        click.echo(role)
        run(read_options(role, kind, pairs), stopped)
        return
    kind, make_app = SERVER_ROLES[role]
    host, _, port = listen.rpartition(':')
    if host != '127.0.0.1':
        raise click.BadParameter('--listen must be 127.0.0.1:PORT')
    server = serve(make_app(read_options(role, kind, pairs)), int(port))
    click.echo(server.address)
    stopped.wait()
    server.stop()
