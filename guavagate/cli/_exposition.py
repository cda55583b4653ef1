"""Reads the metrics of an instance, in the text format of Prometheus."""

import re
from collections.abc import Iterator
from typing import Final

import msgspec

from guavagate.cli._http import fetch

_SAMPLE: Final = re.compile(r'^(\w+)(?:\{(.*)\})? ([-+.\w]+)$')
# A value may hold any character, so it ends where the next label begins.
_LABEL: Final = re.compile(r'(\w+)="(.*?)"(?=,\w+="|$)')
_TIMEOUT_SECONDS: Final = 3.0
_OK: Final = 200


class Sample(msgspec.Struct, frozen=True):
    """One value of a metric."""

    metric: str
    labels: dict[str, str]
    amount: float


def fetch_samples(address: str) -> list[Sample]:
    """Return the metrics of the instance whose metrics address is given.

    Raises
    ------
    OSError
        The address gives no answer, or one that is no metrics.
    ValueError
        The text is no address, or an exported value is no number.
    """
    status, content = fetch(
        f'http://{address}',
        'GET',
        '/metrics',
        headers={'Accept': 'text/plain'},
        timeout=_TIMEOUT_SECONDS,
    )
    if status != _OK:
        raise OSError(f'answered {status}')
    return list(parse_samples(content.decode('utf-8', 'replace')))


def parse_samples(text: str) -> Iterator[Sample]:
    """Return the samples of a text; comments and other lines are left out."""
    for line in text.splitlines():
        match = _SAMPLE.match(line)
        if match is not None:
            labels = dict(_LABEL.findall(match[2] or ''))
            yield Sample(match[1], labels, float(match[3]))
