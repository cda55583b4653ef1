"""Decoding of regions in the configuration and in the settings."""

import pathlib

import msgspec
import pytest

from guavagate.jobs import Job
from guavagate.models import RegionId, ServiceId, ZoneId
from guavagate.platform._jobs import decode_submission
from guavagate.platform._manifest import decode_manifest
from guavagate.platform._settings import load_settings
from guavagate.residency import make_region_map
from tests.routing.test_routes import make_route

_ROUTE = (
    '{"name":"r","host":"h.example","path-prefix":"/p/",'
    '"route-type":"rollout","service":"s","timeout-ms":9%s}'
)


@pytest.mark.parametrize(
    ('field', 'regions'),
    [
        (',"allowed-regions":["central-hills"]', {'central-hills'}),
        (',"allowed-regions":["a","b"]', {'a', 'b'}),
        (',"allowed-regions":[]', None),
        (',"allowed-regions":null', None),
        ('', None),
    ],
)
def test_regions_of_routes_and_teams_are_decoded(
    field: str, regions: set[str] | None
) -> None:
    """An empty or absent list is no bound; a team has the same field."""
    text = (
        f'{{"version":1,"routes":[{_ROUTE % field}],'
        f'"tenants":[{{"name":"t"{field}}}]}}'
    )
    configuration = decode_manifest(text.encode())
    assert configuration.routes[0].regions == regions
    assert configuration.teams[0].regions == regions


def test_regions_of_zones_are_decoded(tmp_path: pathlib.Path) -> None:
    """Settings without the table name no zone, so bound requests use none."""
    head = (
        'node-name = "a"\nip = "10.0.0.1"\nzone = "z1"\nregion = "r1"\n'
        'port-range = [1, 9]\n[platform]\naddress = "10.0.0.2:80"\n'
    )
    path = tmp_path / 'settings.toml'
    path.write_text(f'{head}[zones]\nz1 = "r1"\nz-2 = "central-hills"\n')
    assert make_region_map(load_settings(str(path)).zones) == {
        ZoneId('z1'): RegionId('r1'),
        ZoneId('z-2'): RegionId('central-hills'),
    }
    path.write_text(head)
    assert load_settings(str(path)).zones == {}


def test_a_job_names_a_path_of_its_route() -> None:
    """Its items may have other paths; its route is found by its own.

    Records of earlier releases have neither path nor regions.
    """
    body = msgspec.json.encode({'items': [{'id': 'i', 'path': '/other'}]})
    job = decode_submission('id', body, make_route('/p/'), ServiceId('s'), 5)
    assert job.route_path == '/p/'
    record = msgspec.to_builtins(job)
    del record['path'], record['regions']
    old = msgspec.convert(record, type=Job)
    assert old.route_path == '/other'
    assert old.regions is None
