"""Tests of bearer tokens and the access they give."""

from collections.abc import Callable

import pytest

from guavagate.auth import Authenticator, hash_token, make_token
from guavagate.exceptions import RefusalError
from guavagate.measure.fakes import FakeTeams
from guavagate.models import TeamId
from guavagate.settings import (
    InstanceSettings,
    Role,
    TeamSettings,
    parse_instance_settings,
    parse_team_settings,
)

_FLEET_TOKEN = make_token()
_TEAM_TOKEN = make_token()


def _make_instance_settings() -> InstanceSettings:
    return parse_instance_settings(
        f"""
id = "i1"
availability_zone = "ilala-hall"
region = "dar-coast"
http_address = "127.0.0.1:1"
peer_address = "127.0.0.1:2"
platform = {{object_api = "http://127.0.0.1:3"}}
operators = [{{id = "night-shift", token_hash = "{hash_token(_FLEET_TOKEN)}"}}]
"""
    )


def _make_team_settings(role: str) -> TeamSettings:
    return parse_team_settings(
        'team = "trust"\n'
        f'[[callers]]\nid = "desk"\nrole = "{role}"\n'
        f'token_hash = "{hash_token(_TEAM_TOKEN)}"\n'
    )


def _assert_forbidden(action: Callable[[], None]) -> None:
    with pytest.raises(RefusalError) as caught:
        action()
    assert caught.value.status == 403


def test_token_gives_access_to_its_own_team_only() -> None:
    """Another team's resources and the fleet stay inaccessible."""
    teams = FakeTeams()
    authenticator = Authenticator(_make_instance_settings(), teams)
    with pytest.raises(RefusalError):
        authenticator.identify(f'Bearer {_TEAM_TOKEN}')
    teams.put(_make_team_settings('operator'))
    identity = authenticator.identify(f'Bearer {_TEAM_TOKEN}')
    identity.require(Role.OPERATOR)
    identity.require_team(TeamId('trust'))
    _assert_forbidden(lambda: identity.require_team(TeamId('authority')))
    _assert_forbidden(identity.require_fleet_operator)
    _assert_forbidden(lambda: identity.require(Role.TRAINER))
    authenticator.identify(f'bearer {_FLEET_TOKEN}').require_team(
        TeamId('authority')
    )


def test_withdrawn_token_is_refused_at_once() -> None:
    """The old token is refused as soon as new settings are in force."""
    teams = FakeTeams()
    authenticator = Authenticator(_make_instance_settings(), teams)
    teams.put(_make_team_settings('caller'))
    assert authenticator.identify(f'Bearer {_TEAM_TOKEN}').role is Role.CALLER
    teams.put(TeamSettings(team=TeamId('trust')))
    with pytest.raises(RefusalError) as caught:
        authenticator.identify(f'Bearer {_TEAM_TOKEN}')
    assert caught.value.status == 401
    assert _TEAM_TOKEN not in str(caught.value)


@pytest.mark.parametrize('header', [None, '', 'Bearer', 'Basic x', 'Bearer é'])
def test_missing_token_is_refused(header: str | None) -> None:
    """A header without a usable token gets a 401."""
    with pytest.raises(RefusalError) as caught:
        Authenticator(_make_instance_settings(), FakeTeams()).identify(header)
    assert caught.value.status == 401
