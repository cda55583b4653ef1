"""Liveness and readiness of one instance."""

from collections.abc import Callable

import falcon
import msgspec

# Returns why the instance is not ready, or an empty text.
Check = Callable[[], str]


class Readiness:
    """Collects the reasons for which an instance should get no callers."""

    def __init__(self) -> None:
        self._checks: dict[str, Check] = {}

    def add(self, name: str, check: Check) -> None:
        """Add a check; it must not block."""
        self._checks[name] = check

    def reasons(self) -> dict[str, str]:
        """Return what is not ready, by check."""
        found = {name: check() for name, check in self._checks.items()}
        return {name: reason for name, reason in found.items() if reason}


class HealthResource:
    """``GET /healthz``: the process answers."""

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Answer."""
        response.data = b'{"status":"ok"}'


class ReadinessResource:
    """``GET /readyz``: 200 when callers may be sent here, else 503."""

    def __init__(self, readiness: Readiness) -> None:
        self._readiness = readiness

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """List the reasons for not being ready."""
        reasons = self._readiness.reasons()
        response.status = 503 if reasons else 200
        response.data = msgspec.json.encode(
            {'ready': not reasons, 'reasons': reasons}
        )
