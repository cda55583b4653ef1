"""Lets callers in by their keys, and tells the others why not."""

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
from guavagate.routing import RouteTable

_LOGGER: Final = logging.getLogger(__name__)
_AUTHORIZATION: Final = b'authorization'
_CHALLENGE: Final = (b'WWW-Authenticate', b'Bearer')
_DENIALS: Final = {
    KeyState.MISSING: 'send one `Authorization: Bearer KEY` of your team',
    KeyState.UNKNOWN: 'the key is not known; ask for a key of your team',
}
# An instance that is cut off stays so for seconds; another one may well serve.
UNPROVEN_RETRY_SECONDS: Final = 0.3


class KeyAuthenticator:
    """Judges callers' keys by the configuration in force.

    Parameters
    ----------
    proof_age
        Returns how long ago that was surely the newest one, in seconds.
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

    def authenticate(
        self, exchange: Exchange, request_id: str
    ) -> TeamId | None:
        """Return whose request it is, or nothing once it was refused."""
        verdict = check_key(
            self._routes.keys,
            exchange.get_header_values(_AUTHORIZATION),
            self._proof_age(),
            self._bounds,
        )
        if verdict.allowed:
            return verdict.team
        self._deny(exchange, request_id, verdict)
        return None

    def refuse_no_route(self, exchange: Exchange, request_id: str) -> None:
        """Say that there is no route, if no newer configuration may have it.

        Where nobody needs a key no proof is kept up for it, and by the time
        within which a configuration is in force the word of this one will do.
        """
        proved = may_deny(self._proof_age(), self._bounds)
        if proved or not self._routes.keys.needed:
            send_text(exchange, 404, 'no route of the configuration matches')
            return
        self._refuse(exchange, request_id)

    def _deny(
        self, exchange: Exchange, request_id: str, verdict: KeyVerdict
    ) -> None:
        reason = verdict.state.value
        self._metrics.count(names.KEYS_DENIED, reason=reason)
        if verdict.state is KeyState.UNPROVEN:
            self._refuse(exchange, request_id)
            return
        write(
            _LOGGER,
            events.KEY_DENIED,
            request=request_id,
            reason=reason,
            age=self._tell_age(),
        )
        send_text(exchange, 401, _DENIALS[verdict.state], _CHALLENGE)

    def _refuse(self, exchange: Exchange, request_id: str) -> None:
        write(
            _LOGGER,
            events.REFUSED_UNPROVEN,
            request=request_id,
            age=self._tell_age(),
        )
        reason = 'the configuration here may be an old one'
        refuse(exchange, reason, UNPROVEN_RETRY_SECONDS)

    def _tell_age(self) -> float | None:
        """Return the proof's age as it is logged; nothing without a proof."""
        age = self._proof_age()
        return round(age, 2) if math.isfinite(age) else None
