"""Authenticates requests by bearer token against the current settings."""

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
    """The owner of a token; `team` is empty for a fleet operator."""

    team: TeamId
    caller: CallerId
    role: Role

    @property
    def is_fleet_operator(self) -> bool:
        """Return whether the token's owner operates the whole fleet."""
        return not self.team

    def require(self, *roles: Role) -> None:
        """Refuse the token unless it has one of these roles."""
        if self.role not in roles:
            raise _make_forbidden(
                f'the role {self.role.value!r} may not do this',
                'use a token with the role {}'.format(
                    ' or '.join(repr(role.value) for role in roles)
                ),
            )

    def can_access_team(self, team: TeamId) -> bool:
        """Return whether the token gives access to the team's resources."""
        return self.is_fleet_operator or self.team == team

    def require_team(self, team: TeamId) -> None:
        """Refuse the token unless it gives access to the team."""
        if not self.can_access_team(team):
            raise _make_forbidden(
                f'this token does not belong to the team {team!r}',
                'use a token of that team',
            )

    def require_fleet_operator(self) -> None:
        """Refuse the token unless it belongs to a fleet operator."""
        if not self.is_fleet_operator:
            raise _make_forbidden(
                'this concerns every team',
                "use the token of an operator in the instances' own settings",
            )


class _KnownToken(msgspec.Struct, frozen=True):
    token_hash: str
    identity: Identity


class Authenticator:
    """Maps bearer tokens to identities.

    The dict lookup isn't constant-time, but its timing tells nothing about the
    token: an attacker can't choose the digits of a hash. The matching hash is
    then compared in constant time.
    """

    def __init__(self, settings: InstanceSettings, teams: _Teams) -> None:
        self._teams = teams
        self._operators = {
            operator.token_hash: _KnownToken(
                operator.token_hash,
                Identity(
                    team=TeamId(''), caller=operator.id, role=Role.OPERATOR
                ),
            )
            for operator in settings.operators
        }
        self._tokens = dict(self._operators)
        self._changed = True
        teams.subscribe(self._mark_changed)

    def identify(self, authorization: str | None) -> Identity:
        """Return the identity for an ``Authorization`` header.

        Raises
        ------
        RefusalError
            401; the token is missing or unknown. The message doesn't repeat it.
        """
        token_hash = hash_token(_read_token(authorization))
        if self._changed:
            self._refresh()
        known = self._tokens.get(token_hash)
        if known is not None and is_same_hash(known.token_hash, token_hash):
            return known.identity
        raise _make_unauthorized('the token is not known')

    def _mark_changed(self, team: TeamId) -> None:
        self._changed = True

    def _refresh(self) -> None:
        self._changed = False
        self._tokens = dict(self._operators)
        for team in self._teams.all():
            self._add_callers(team)

    def _add_callers(self, team: TeamSettings) -> None:
        for caller in team.callers:
            identity = Identity(
                team=team.team, caller=caller.id, role=caller.role
            )
            self._tokens.setdefault(
                caller.token_hash, _KnownToken(caller.token_hash, identity)
            )


def _read_token(authorization: str | None) -> str:
    token = read_bearer(authorization)
    if token is None:
        raise _make_unauthorized('the request carries no bearer token')
    return token


def _make_unauthorized(problem: str) -> RefusalError:
    return RefusalError(
        problem,
        'send `Authorization: Bearer TOKEN` with a token of your team',
        reason='unauthorized',
        status=401,
    )


def _make_forbidden(problem: str, remedy: str) -> RefusalError:
    return RefusalError(problem, remedy, reason='forbidden', status=403)
