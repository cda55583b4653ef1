"""Tests of tokens and of what they allow."""

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

_FLEET = make_token()
_OWN = make_token()


def _instance() -> InstanceSettings:
    return parse_instance_settings(
        f"""
id = "i1"
availability_zone = "ilala-hall"
region = "dar-coast"
http_address = "127.0.0.1:1"
peer_address = "127.0.0.1:2"
platform = {{object_api = "http://127.0.0.1:3"}}
operators = [{{id = "night-shift", token_hash = "{hash_token(_FLEET)}"}}]
"""
    )


def _team(role: str) -> TeamSettings:
    return parse_team_settings(
        'team = "trust"\n'
        f'[[callers]]\nid = "desk"\nrole = "{role}"\n'
        f'token_hash = "{hash_token(_OWN)}"\n'
    )


def _forbidden(refused: Callable[[], None]) -> None:
    with pytest.raises(RefusalError) as caught:
        refused()
    assert caught.value.status == 403


def test_a_token_opens_its_own_team_only() -> None:
    """Another team's subtree, and the fleet, stay shut."""
    teams = FakeTeams()
    authenticator = Authenticator(_instance(), teams)
    with pytest.raises(RefusalError):
        authenticator.identify(f'Bearer {_OWN}')
    teams.put(_team('operator'))
    identity = authenticator.identify(f'Bearer {_OWN}')
    identity.require(Role.OPERATOR)
    identity.require_team(TeamId('trust'))
    _forbidden(lambda: identity.require_team(TeamId('authority')))
    _forbidden(identity.require_fleet_operator)
    _forbidden(lambda: identity.require(Role.TRAINER))
    authenticator.identify(f'bearer {_FLEET}').require_team(TeamId('authority'))


def test_a_withdrawn_token_is_refused_at_once() -> None:
    """Once new settings are in force, the old token opens nothing."""
    teams = FakeTeams()
    authenticator = Authenticator(_instance(), teams)
    teams.put(_team('caller'))
    assert authenticator.identify(f'Bearer {_OWN}').role is Role.CALLER
    teams.put(TeamSettings(team=TeamId('trust')))
    with pytest.raises(RefusalError) as caught:
        authenticator.identify(f'Bearer {_OWN}')
    assert caught.value.status == 401
    assert _OWN not in str(caught.value)


@pytest.mark.parametrize('header', [None, '', 'Bearer', 'Basic x', 'Bearer é'])
def test_no_token_is_refused(header: str | None) -> None:
    """A header without a usable token gets a 401."""
    with pytest.raises(RefusalError) as caught:
        Authenticator(_instance(), FakeTeams()).identify(header)
    assert caught.value.status == 401
