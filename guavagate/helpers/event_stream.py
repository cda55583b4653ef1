"""Parses a sampler's event stream into complete events."""

from collections.abc import Iterator
from typing import Final

from guavagate.exceptions import UpstreamError
from guavagate.http1 import Answer
from guavagate.models import WeightVersion
from guavagate.ports.sampler import TextEvent

_EVENT_END: Final = b'\n\n'
# A faulty upstream may send bytes without end. A text has a few kilobytes, and
# one event some hundred bytes.
MAX_EVENT_BYTES: Final = 1_000_000
MAX_STREAM_BYTES: Final = 16_000_000


class EventStream:
    """Implements `ports.sampler.ItemRun` over a sampler's answer.

    Parameters
    ----------
    version_name
        Name of the header and of the event line that contain the weight
        version; in lower case.
    """

    def __init__(
        self, answer: Answer, resume_after: int, version_name: bytes
    ) -> None:
        self._answer = answer
        self._last_number = resume_after
        self._version_name = version_name.decode()
        self._version = WeightVersion(
            int(answer.get_header(version_name).split(',')[-1] or 0)
        )

    def events(self) -> Iterator[TextEvent]:
        """Yield complete events; raise if the stream ends within an event."""
        rest = b''
        size = 0
        for chunk in self._answer.chunks():
            *blocks, rest = (rest + chunk).split(_EVENT_END)
            size += len(chunk)
            if len(rest) > MAX_EVENT_BYTES or size > MAX_STREAM_BYTES:
                self.cancel()
                raise UpstreamError(
                    'the event stream is longer than any text',
                    'check the sampler; the item resumes on another one',
                )
            for block in blocks:
                yield self._parse(block)
        if rest.strip():
            self.cancel()
            raise UpstreamError(
                'the event stream ended in the middle of an event',
                'no action needed; the item resumes on another sampler',
            )

    def cancel(self) -> None:
        """Close the stream; the sampler then drops the work."""
        self._answer.close()

    def _parse(self, block: bytes) -> TextEvent:
        number = self._last_number + 1
        data: list[str] = []
        for line in block.decode('utf-8', 'surrogateescape').split('\n'):
            name, _, value = line.partition(':')
            value = value.removeprefix(' ')
            if name == 'data':
                data.append(value)
            elif name == 'id' and value.isdigit():
                number = int(value)
            elif name == self._version_name and value.isdigit():
                self._version = WeightVersion(int(value))
        self._last_number = number
        return TextEvent(number, '\n'.join(data), self._version)
