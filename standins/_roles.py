"""The roles that a stand-in process can take."""

import signal
from collections.abc import Callable
from typing import Any

import click
import falcon
import gevent
import msgspec

from standins import engine, object_api, plain, scoring, weights
from standins._web import serve

Maker = tuple[type[msgspec.Struct], Callable[[Any], falcon.App]]

ROLES: dict[str, Maker] = {
    'object-api': (object_api.ObjectApiOptions, object_api.make_app),
    'engine': (engine.EngineOptions, engine.make_app),
    'plain': (plain.PlainOptions, plain.make_app),
    'scoring': (scoring.ScoringOptions, scoring.make_app),
    'weights': (weights.WeightStoreOptions, weights.make_app),
}


def make_role(role: str, pairs: dict[str, str]) -> falcon.App:
    """Return a role's application with options given as text."""
    options, make = ROLES[role]
    try:
        return make(msgspec.convert(pairs, options, strict=False))
    except msgspec.ValidationError as error:
        names = ', '.join(options.__struct_fields__)
        raise click.BadParameter(
            f'{error}; the options of {role} are {names}'
        ) from error


@click.command()
@click.argument('role', type=click.Choice(sorted(ROLES)))
@click.option('--listen', required=True, help='127.0.0.1:PORT, 0 for any')
@click.argument('options', nargs=-1, metavar='[OPTION=VALUE …]')
def main(role: str, listen: str, options: tuple[str, ...]) -> None:
    """Run one stand-in until SIGINT or SIGTERM; print its address first."""
    pairs = dict(option.split('=', 1) for option in options)
    host, _, port = listen.rpartition(':')
    if host != '127.0.0.1':
        raise click.BadParameter('stand-ins listen on 127.0.0.1 only')
    server = serve(make_role(role, pairs), int(port))
    stopped = gevent.event.Event()
    for number in (signal.SIGINT, signal.SIGTERM):
        gevent.signal_handler(number, stopped.set)
    click.echo(server.address)
    stopped.wait()
    server.stop()
