"""Command that lists zones, evacuations and warm-ups as instances see them."""

from collections.abc import Sequence
from typing import Final

import click
import msgspec

from guavagate.cli._errors import ExitCode, ToolError
from guavagate.cli._exposition import Sample, fetch_samples
from guavagate.cli._output import (
    as_json,
    print_json,
    print_missing,
    print_table,
)
from guavagate.metrics import Metric, names

_ZONE_HEADS: Final = (
    'INSTANCE',
    'REGION',
    'ZONE',
    'INSTANCES',
    'UPSTREAMS',
    'COLD',
    'RUNNING',
    'EVACUATED',
)
_COLD_HEADS: Final = ('INSTANCE', 'ZONE', 'SERVICE', 'UPSTREAM', 'COLD FOR')


class ZoneRow(msgspec.Struct, frozen=True, kw_only=True):
    """A zone as one instance sees it; `evacuated_s` is `None` if it is not."""

    instance: str
    region: str
    zone: str
    instances: int
    upstreams: int
    cold: int
    running: int
    evacuated_s: float | None


class ColdRow(msgspec.Struct, frozen=True, kw_only=True):
    """An upstream that counts as cold at one instance."""

    instance: str
    zone: str
    service: str
    upstream: str
    cold_s: float


class ZonesBody(msgspec.Struct, kw_only=True):
    """What the instances see; `missing` names those without an answer."""

    zones: list[ZoneRow] = []
    cold: list[ColdRow] = []
    missing: dict[str, str] = {}


@click.command()
@click.argument('addresses', metavar='ADDRESS...', nargs=-1, required=True)
@as_json
def zones(addresses: tuple[str, ...], as_json: bool) -> None:
    """List zones, evacuations and warm-ups as instances see them.

    ADDRESS is the metrics address of an instance, as 10.0.0.1:9464. Each
    instance answers for itself: a zone is empty when all of them show it as
    evacuated, with nothing running. Exits with 9 if an instance gave no
    answer or shows another set of evacuated zones than the others.
    """
    body = _collect(addresses)
    print_missing(body.missing)
    if len(body.missing) == len(set(addresses)):
        raise ToolError('no instance answered', ExitCode.UNAVAILABLE)
    if as_json:
        print_json(body)
    else:
        _print(body)
    if body.missing or not _do_agree(body.zones):
        raise ToolError(
            'some instance gave no answer, or follows other evacuations\n'
            'call again after the bound of an evacuation',
            ExitCode.LAGGING,
        )


def _collect(addresses: Sequence[str]) -> ZonesBody:
    body = ZonesBody()
    for address in dict.fromkeys(addresses):
        try:
            samples = fetch_samples(address)
            rows = read_zones(samples)
        except (OSError, ValueError, OverflowError) as error:
            body.missing[address] = str(error) or type(error).__name__
            continue
        if not rows:
            body.missing[address] = 'it exports no zones'
        body.zones += rows
        body.cold += read_cold(samples)
    return body


def read_zones(samples: Sequence[Sample]) -> list[ZoneRow]:
    """Return a row for each zone in the metrics of one instance."""
    figures = {
        (each.metric, each.labels.get('zone', '')): each.amount
        for each in samples
    }

    def find(metric: Metric, zone: str) -> int:
        return round(figures.get((metric.name, zone), 0))

    return [
        ZoneRow(
            instance=each.labels.get('instance', '?'),
            region=each.labels.get('region', ''),
            zone=each.labels['zone'],
            instances=round(each.amount),
            upstreams=find(names.ZONE_UPSTREAMS, each.labels['zone']),
            cold=find(names.ZONE_COLD, each.labels['zone']),
            running=find(names.ZONE_RUNNING, each.labels['zone']),
            evacuated_s=figures.get(
                (names.ZONE_EVACUATED_SECONDS.name, each.labels['zone'])
            ),
        )
        for each in samples
        if each.metric == names.ZONE_INSTANCES.name and 'zone' in each.labels
    ]


def read_cold(samples: Sequence[Sample]) -> list[ColdRow]:
    """Return a row for each cold upstream in the metrics of one instance."""
    return [
        ColdRow(
            instance=each.labels.get('instance', '?'),
            zone=each.labels.get('zone', ''),
            service=each.labels.get('service', ''),
            upstream=each.labels.get('upstream', ''),
            cold_s=each.amount,
        )
        for each in samples
        if each.metric == names.COLD_SECONDS.name
    ]


def _do_agree(rows: Sequence[ZoneRow]) -> bool:
    evacuated: dict[str, set[str]] = {row.instance: set() for row in rows}
    for row in rows:
        if row.evacuated_s is not None:
            evacuated[row.instance].add(row.zone)
    return len({frozenset(found) for found in evacuated.values()}) <= 1


def _print(body: ZonesBody) -> None:
    print_table(
        _ZONE_HEADS,
        [
            (
                row.instance,
                row.region or '-',
                row.zone,
                row.instances,
                row.upstreams,
                row.cold,
                row.running,
                _format_age(row.evacuated_s),
            )
            for row in body.zones
        ],
        'No instance knows a zone.',
    )
    click.echo()
    print_table(
        _COLD_HEADS,
        [
            (
                row.instance,
                row.zone,
                row.service,
                row.upstream,
                _format_age(row.cold_s),
            )
            for row in body.cold
        ],
        'No upstream is cold.',
    )


def _format_age(seconds: float | None) -> str:
    return '-' if seconds is None else f'{seconds:.1f} s'
