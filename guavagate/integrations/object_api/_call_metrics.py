"""Measures the duration of calls to the store."""

from typing import Final

from guavagate.clock import Clock
from guavagate.integrations.object_api.models import Answer, Call, Transport
from guavagate.metrics import Metrics, names

# Calls with a longer timeout are watches, which wait for changes.
LONGEST_CALL_SECONDS: Final = 2.0


def measure_calls(
    transport: Transport, metrics: Metrics, clock: Clock
) -> Transport:
    """Return a transport that records the duration of each call."""

    def call_timed(call: Call) -> Answer:
        began_at = clock.now()
        outcome = 'failed'
        try:
            answer = transport(call)
            outcome = str(answer.status)
        finally:
            if call.timeout <= LONGEST_CALL_SECONDS:
                metrics.observe(
                    names.STORE_SECONDS,
                    clock.now() - began_at,
                    method=call.method,
                    outcome=outcome,
                )
        return answer

    return call_timed
