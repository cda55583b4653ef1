"""Decoding of the names that belong to the warm-up of upstreams."""

from pathlib import Path

import pytest

from guavagate.platform._manifest import decode_manifest
from guavagate.platform._settings import load_settings
from guavagate.ports.configuration import Warmup


def test_a_service_names_its_warm_up() -> None:
    """The rate is per second and the time is in seconds, unlike other times."""
    manifest = (
        b'{"version":1,"services":'
        b'[{"name":"s","cold-per-s":8.2,"cold-start-s":3}]}'
    )
    warmup = Warmup(per_second=8.2, start_seconds=3)
    assert decode_manifest(manifest).services[0].warmup == warmup


@pytest.mark.parametrize('field', [b'', b'"cold-per-s":0,"cold-start-s":3,'])
def test_a_service_without_a_rate_has_no_warm_up(field: bytes) -> None:
    """A rate of 0 must not end all requests to the service."""
    manifest = b'{"version":1,"services":[{%s"name":"s"}]}' % field
    assert decode_manifest(manifest).services[0].warmup is None


@pytest.mark.parametrize(
    ('lines', 'bound'),
    [('', (1, 0)), ('cold-excess = 1.5\ncold-slack = 5\n', (1.5, 5))],
)
def test_the_bound_for_cold_upstreams_is_read_from_the_settings(
    tmp_path: Path, lines: str, bound: tuple[float, float]
) -> None:
    """Without the values the rate itself is the bound."""
    path = tmp_path / 'settings.toml'
    path.write_text(
        'node-name = "n"\nip = "10.0.0.1"\nzone = "z"\nregion = "r"\n'
        f'port-range = [1, 9]\n[bounds]\n{lines}'
        '[platform]\naddress = "10.0.0.2:80"\n'
    )
    read = load_settings(str(path)).to_options().warmup_bound
    assert (read.excess, read.slack) == bound
