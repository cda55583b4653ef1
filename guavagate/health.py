"""Liveness and readiness endpoints of one instance."""

from collections.abc import Callable

import falcon
import msgspec

# Returns why the instance is not ready, or an empty string.
Check = Callable[[], str]


class Readiness:
    """Collects the reasons why an instance should not receive requests."""

    def __init__(self) -> None:
        self._checks: dict[str, Check] = {}

    def add(self, name: str, check: Check) -> None:
        """Add a check; it must not block."""
        self._checks[name] = check

    def reasons(self) -> dict[str, str]:
        """Return the reasons of the failed checks by check name."""
        found = {name: check() for name, check in self._checks.items()}
        return {name: reason for name, reason in found.items() if reason}


class HealthResource:
    """``GET /healthz``: 200 while the process responds."""

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Return 200."""
        response.data = b'{"status":"ok"}'


class ReadinessResource:
    """``GET /readyz``: 200 if the instance accepts requests, else 503."""

    def __init__(self, readiness: Readiness) -> None:
        self._readiness = readiness

    def on_get(
        self, request: falcon.Request, response: falcon.Response
    ) -> None:
        """Return the readiness and the reasons against it."""
        reasons = self._readiness.reasons()
        response.status = 503 if reasons else 200
        response.data = msgspec.json.encode(
            {'ready': not reasons, 'reasons': reasons}
        )
