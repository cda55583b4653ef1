"""History of one exchange at an engine."""

from typing import Any

from guavagate.measure.history import (
    AnsweredByUpstream,
    GeneratedPiece,
    RanAtUpstream,
)
from standins.engine._options import Request
from standins.history import Recorder, now
from standins.text import parse_tag


def parse_sample_id(exchange: str) -> str:
    """Return the sample id of an exchange; empty for a caller's request.

    guavagate names a sample's exchanges ``run/sample#attempt``.
    """
    subject, separator, _ = exchange.partition('#')
    return subject.partition('/')[2] if separator else ''


class Trace:
    """Records the start, the text per version and the answer of an exchange.

    Parameters
    ----------
    recorder
        Destination of the events.
    who
        Id of the engine.
    request
        The request of the exchange.
    """

    def __init__(self, recorder: Recorder, who: str, request: Request) -> None:
        self._recorder = recorder
        self._who = who
        self._request = request
        self._tag = parse_tag(request.prompt)
        self._text = ''
        self._answer = request.resume_text
        self._version = 0
        recorder.record(
            RanAtUpstream(
                at=now(),
                who=who,
                request=self._tag,
                body=request.prompt,
                exchange=request.request_id,
            )
        )

    def record_event(self, event: dict[str, Any]) -> None:
        """Record an event before it is sent."""
        choice = event['choices'][0]
        version = event.get('weight_version', 0)
        if version != self._version:
            self.flush()
        self._version = version
        self._text += choice['text']
        self._answer += choice['text']
        if choice['finish_reason']:
            self._recorder.record(
                AnsweredByUpstream(
                    at=now(),
                    who=self._who,
                    request=self._tag,
                    answer=self._answer,
                    exchange=self._request.request_id,
                )
            )

    def flush(self) -> None:
        """Record the pending text, which one version generated."""
        if not self._text:
            return
        self._recorder.record(
            GeneratedPiece(
                at=now(),
                who=self._who,
                exchange=self._request.request_id,
                version=self._version,
                text=self._text,
                sample=parse_sample_id(self._request.request_id),
                request=self._tag,
            )
        )
        self._text = ''
