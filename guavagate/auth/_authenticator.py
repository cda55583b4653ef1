"""Checks a request's bearer token against the settings in force."""

from collections.abc import Callable
from typing import Protocol

import msgspec

from guavagate.auth._tokens import hash_token, is_same_hash, read_bearer
from guavagate.exceptions import RefusalError
from guavagate.models import CallerId, TeamId
from guavagate.settings import InstanceSettings, Role, TeamSettings


class _Teams(Protocol):
    def all(self) -> list[TeamSettings]: ...

    def subscribe(self, changed: Callable[[TeamId], None]) -> None: ...


class Identity(msgspec.Struct, frozen=True, kw_only=True):
    """Whom a token belongs to; `team` is empty for a fleet operator."""

    team: TeamId
    caller: CallerId
    role: Role

    @property
    def is_fleet_operator(self) -> bool:
        """Return whether this is an operator of the whole fleet."""
        return not self.team

    def require(self, *roles: Role) -> None:
        """Refuse a token whose role is none of these."""
        if self.role not in roles:
            raise _forbid(
                f'the role {self.role.value!r} may not do this',
                'use a token with the role {}'.format(
                    ' or '.join(repr(role.value) for role in roles)
                ),
            )

    def can_access_team(self, team: TeamId) -> bool:
        """Return whether the team's subtree is open to this token."""
        return self.is_fleet_operator or self.team == team

    def require_team(self, team: TeamId) -> None:
        """Refuse a token of another team."""
        if not self.can_access_team(team):
            raise _forbid(
                f'this token does not belong to the team {team!r}',
                'use a token of that team',
            )

    def require_fleet_operator(self) -> None:
        """Refuse a token that is no fleet operator's."""
        if not self.is_fleet_operator:
            raise _forbid(
                'this concerns every team',
                "use the token of an operator in the instances' own settings",
            )


class _Known(msgspec.Struct, frozen=True):
    token_hash: str
    identity: Identity


class Authenticator:
    """Finds the identity of a token.

    Hashes are looked up by value, which takes no account of the secret: who
    guesses can't choose a hash's digits. The match is then compared in
    constant time.
    """

    def __init__(self, settings: InstanceSettings, teams: _Teams) -> None:
        self._teams = teams
        self._operators = {
            operator.token_hash: _Known(
                operator.token_hash,
                Identity(
                    team=TeamId(''), caller=operator.id, role=Role.OPERATOR
                ),
            )
            for operator in settings.operators
        }
        self._known = dict(self._operators)
        self._changed = True
        teams.subscribe(self._note_change)

    def identify(self, authorization: str | None) -> Identity:
        """Return the identity for an ``Authorization`` header.

        Raises
        ------
        RefusalError
            401; the token is missing or unknown. It is never repeated.
        """
        wanted = hash_token(_read_token(authorization))
        if self._changed:
            self._refresh()
        known = self._known.get(wanted)
        if known is not None and is_same_hash(known.token_hash, wanted):
            return known.identity
        raise _unauthorized('the token is not known')

    def _note_change(self, team: TeamId) -> None:
        self._changed = True

    def _refresh(self) -> None:
        self._changed = False
        self._known = dict(self._operators)
        for team in self._teams.all():
            self._add_team(team)

    def _add_team(self, team: TeamSettings) -> None:
        for caller in team.callers:
            identity = Identity(
                team=team.team, caller=caller.id, role=caller.role
            )
            self._known.setdefault(
                caller.token_hash, _Known(caller.token_hash, identity)
            )


def _read_token(authorization: str | None) -> str:
    token = read_bearer(authorization)
    if token is None:
        raise _unauthorized('the request carries no bearer token')
    return token


def _unauthorized(problem: str) -> RefusalError:
    return RefusalError(
        problem,
        'send `Authorization: Bearer TOKEN` with a token of your team',
        reason='unauthorized',
        status=401,
    )


def _forbid(problem: str, remedy: str) -> RefusalError:
    return RefusalError(problem, remedy, reason='forbidden', status=403)
