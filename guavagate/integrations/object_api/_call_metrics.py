"""Measures calls to the store."""

from typing import Final

from guavagate.clock import Clock
from guavagate.integrations.object_api.models import Answer, Call, Transport
from guavagate.metrics import Metrics, names

# What may take longer is a watch, which waits for changes.
LONGEST_CALL_SECONDS: Final = 2.0


def measure_calls(
    carry: Transport, metrics: Metrics, clock: Clock
) -> Transport:
    """Return the same way to the store, with each call's time observed."""

    def carry_timed(call: Call) -> Answer:
        began = clock.now()
        outcome = 'failed'
        try:
            answer = carry(call)
            outcome = str(answer.status)
        finally:
            if call.timeout <= LONGEST_CALL_SECONDS:
                metrics.observe(
                    names.STORE_SECONDS,
                    clock.now() - began,
                    method=call.method,
                    outcome=outcome,
                )
        return answer

    return carry_timed
