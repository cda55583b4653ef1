"""What an engine records of one exchange."""

from typing import Any

from guavagate.measure.history import (
    AnsweredByUpstream,
    GeneratedPiece,
    RanAtUpstream,
)
from standins.engine._options import Request
from standins.history import Recorder, now
from standins.text import parse_tag


def read_sample(exchange: str) -> str:
    """Return the sample that an exchange is for, or nothing.

    guavagate names a sample's exchanges ``run/sample#attempt``.
    """
    subject, mark, _ = exchange.partition('#')
    return subject.partition('/')[2] if mark else ''


class Trace:
    """Records an exchange's start, its text by version, and its answer.

    Parameters
    ----------
    recorder
        Where it goes.
    who
        The engine.
    request
        What is run.
    """

    def __init__(self, recorder: Recorder, who: str, request: Request) -> None:
        self._recorder = recorder
        self._who = who
        self._request = request
        self._name = parse_tag(request.prompt)
        self._text = ''
        self._answer = request.resume_text
        self._version = 0
        recorder.record(
            RanAtUpstream(
                at=now(),
                who=who,
                request=self._name,
                body=request.prompt,
                exchange=request.request_id,
            )
        )

    def add(self, event: dict[str, Any]) -> None:
        """Note an event before it is sent."""
        choice = event['choices'][0]
        version = event.get('weight_version', 0)
        if version != self._version:
            self.close()
        self._version = version
        self._text += choice['text']
        self._answer += choice['text']
        if choice['finish_reason']:
            self._recorder.record(
                AnsweredByUpstream(
                    at=now(),
                    who=self._who,
                    request=self._name,
                    answer=self._answer,
                    exchange=self._request.request_id,
                )
            )

    def close(self) -> None:
        """Record the text that one version made."""
        if not self._text:
            return
        self._recorder.record(
            GeneratedPiece(
                at=now(),
                who=self._who,
                exchange=self._request.request_id,
                version=self._version,
                text=self._text,
                sample=read_sample(self._request.request_id),
                request=self._name,
            )
        )
        self._text = ''
