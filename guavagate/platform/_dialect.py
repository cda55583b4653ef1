"""Headers of requests to samplers and of their answers."""

from guavagate.http1 import (
    Answer,
    Headers,
    Request,
    drop_hop_by_hop,
    find_header,
)
from guavagate.models import TeamId
from guavagate.platform import const
from guavagate.ports.dialect import AnswerMarks, Call
from guavagate.ports.upstreams import Upstream

_REPLACED = frozenset(
    (
        const.DEADLINE.lower(),
        const.TARGET.lower(),
        const.RESUME.lower(),
        const.TENANT.lower(),
    )
)
_CREDENTIALS = frozenset((const.AUTHORIZATION,))
_MISDIRECTED = 421


class PlatformDialect:
    """Implements `ports.dialect.Dialect`."""

    def prepare(
        self, call: Call, upstream: Upstream, left: float, resume_after: int
    ) -> Request:
        """Return the request as it goes to a sampler."""
        headers = [
            each
            for each in drop_hop_by_hop(call.request.headers)
            if each[0].lower() not in _REPLACED
            and not (call.keyed and each[0].lower() in _CREDENTIALS)
        ]
        millis = max(int(left * const.MILLIS), 1)
        headers += [
            (const.DEADLINE, str(millis).encode()),
            (const.TARGET, upstream.id.encode()),
        ]
        if call.team:
            headers.append((const.TENANT, call.team.encode()))
        if resume_after:
            headers.append((const.RESUME, str(resume_after).encode()))
        return Request(call.request.method, call.request.target, headers)

    def compose(self, request_id: str, host: str, path: str) -> Request:
        """Return a request of our own, to be prepared as callers' are."""
        headers = [
            (b'Host', host.encode()),
            (const.REQUEST_ID, request_id.encode()),
        ]
        return Request('POST', path, headers)

    def read_signature(self, headers: Headers) -> str:
        """Return the signature of an answer's sampler, or nothing."""
        return find_header(headers, const.SEAL)

    def read(self, call: Call, answer: Answer) -> AnswerMarks:
        """Return what an answer's head says."""
        return read_marks(call.id, answer)


def read_marks(request_id: str, answer: Answer) -> AnswerMarks:
    """Return what an answer's head says about a request."""
    echoed = answer.find(const.REQUEST_ID.lower())
    refused = bool(answer.find(const.NOT_RUN)) or answer.status == _MISDIRECTED
    return AnswerMarks(
        not_run=refused,
        mismatched=bool(echoed) and echoed != request_id,
        busy=_read_busy(answer.find(const.LOAD)),
    )


def to_headers(headers: dict[str, str], team: TeamId) -> Headers:
    """Return an item's headers in the form that they are sent in.

    A trainer must not name a team for its items; neither it nor a sampler is
    told of keys.
    """
    sent = [
        (name.encode('latin-1'), value.encode('latin-1'))
        for name, value in headers.items()
    ]
    if not team:
        return sent
    ours = {const.TENANT.lower(), const.AUTHORIZATION}
    kept = [each for each in sent if each[0].lower() not in ours]
    return [*kept, (const.TENANT, team.encode())]


def _read_busy(text: str) -> int | None:
    """Return running and waiting requests, from "running,waiting,slots"."""
    parts = text.split(',')
    if len(parts) < 2 or not all(part.strip().isdigit() for part in parts):
        return None
    return int(parts[0]) + int(parts[1])
