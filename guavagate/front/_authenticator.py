"""Authenticates callers by their keys and refuses all others."""

import logging
import math
from collections.abc import Callable
from typing import Final

from guavagate.auth import (
    KeyState,
    KeyVerdict,
    ProofBounds,
    check_key,
    may_deny,
)
from guavagate.events import edge as events
from guavagate.events import write
from guavagate.forwarding import refuse, send_text
from guavagate.http1 import Exchange
from guavagate.metrics import Metrics, names
from guavagate.models import TeamId
from guavagate.ports.configuration import Route
from guavagate.routing import RouteTable

_LOGGER: Final = logging.getLogger(__name__)
_AUTHORIZATION: Final = b'authorization'
_CHALLENGE: Final = (b'WWW-Authenticate', b'Bearer')
_DENIALS: Final = {
    KeyState.MISSING: 'send one `Authorization: Bearer KEY` of your team',
    KeyState.UNKNOWN: 'the key is not known; ask for a key of your team',
}
_NO_TEAM: Final = TeamId('')
# An instance stays isolated for seconds, but another one can serve.
UNPROVEN_RETRY_SECONDS: Final = 0.3


class KeyAuthenticator:
    """Checks callers' keys against the configuration in force.

    Parameters
    ----------
    proof_age
        Returns how long ago the configuration was proven current, in seconds.
    """

    def __init__(
        self,
        routes: RouteTable,
        metrics: Metrics,
        proof_age: Callable[[], float],
        bounds: ProofBounds,
    ) -> None:
        self._routes = routes
        self._metrics = metrics
        self._proof_age = proof_age
        self._bounds = bounds

    def find_route(self, exchange: Exchange) -> tuple[Route, TeamId] | None:
        """Return a request's route and team, or `None` after refusing it."""
        route = self._routes.find(
            exchange.get_header(b'host'), exchange.request.target
        )
        if route is None:
            self.refuse_no_route(exchange, exchange.id)
            return None
        team = _NO_TEAM if route.open else self.authenticate(exchange)
        return None if team is None else (route, team)

    def authenticate(self, exchange: Exchange) -> TeamId | None:
        """Return the team of a request, or `None` after refusing it."""
        verdict = check_key(
            self._routes.keys,
            exchange.get_header_values(_AUTHORIZATION),
            self._proof_age(),
            self._bounds,
        )
        if verdict.allowed:
            return verdict.team
        self._refuse_key(exchange, exchange.id, verdict)
        return None

    def refuse_no_route(self, exchange: Exchange, request_id: str) -> None:
        """Answer 404, or 503 if a newer configuration may have the route.

        Where no key is needed, no proof is maintained. The configuration here
        then counts as current, because a new one arrives within its time limit.
        """
        proved = may_deny(self._proof_age(), self._bounds)
        if proved or not self._routes.keys.needed:
            send_text(exchange, 404, 'no route of the configuration matches')
            return
        self._refuse_unproven(exchange, request_id)

    def _refuse_key(
        self, exchange: Exchange, request_id: str, verdict: KeyVerdict
    ) -> None:
        reason = verdict.state.value
        self._metrics.count(names.KEYS_DENIED, reason=reason)
        if verdict.state is KeyState.UNPROVEN:
            self._refuse_unproven(exchange, request_id)
            return
        write(
            _LOGGER,
            events.KEY_DENIED,
            request=request_id,
            reason=reason,
            age=self._round_age(),
        )
        send_text(exchange, 401, _DENIALS[verdict.state], _CHALLENGE)

    def _refuse_unproven(self, exchange: Exchange, request_id: str) -> None:
        write(
            _LOGGER,
            events.REFUSED_UNPROVEN,
            request=request_id,
            age=self._round_age(),
        )
        reason = 'the configuration here may be an old one'
        refuse(exchange, reason, UNPROVEN_RETRY_SECONDS)

    def _round_age(self) -> float | None:
        """Return the age of the proof for the log; `None` without a proof."""
        age = self._proof_age()
        return round(age, 2) if math.isfinite(age) else None
