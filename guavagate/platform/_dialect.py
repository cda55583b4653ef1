"""Headers of requests to upstreams and of their answers."""

import msgspec

from guavagate.helpers.numbers import parse_whole_number
from guavagate.http1 import (
    Answer,
    Headers,
    Request,
    drop_hop_by_hop,
    find_header,
)
from guavagate.models import TeamId
from guavagate.platform import const
from guavagate.platform._answers import (
    answers_probe,
    answers_request,
    is_signed,
)
from guavagate.ports.dialect import AnswerMarks, Call
from guavagate.ports.load import LoadReport
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
_TEAM_HEADERS = _CREDENTIALS | {const.TENANT.lower()}
_SET_FOR_ITEMS = frozenset(
    (
        b'host',
        const.REQUEST_ID.lower(),
        const.TARGET.lower(),
        const.RESUME.lower(),
    )
)
_MISDIRECTED = 421
# What an upstream reports as the time of its work while nothing slows it down.
_USUAL_PERCENT = 100
# Larger figures are false, and very large ones can not be read at all.
_MAX_DIGITS = 9


class PlatformDialect:
    """Implements `ports.dialect.Dialect` and `ProbeDialect`."""

    version_name = const.VERSION

    def prepare(
        self, call: Call, upstream: Upstream, left: float, resume_after: int
    ) -> Request:
        """Return the request as it is sent to an upstream."""
        headers = [
            each
            for each in drop_hop_by_hop(call.request.headers)
            if each[0].lower() not in _REPLACED
            and not (call.keyed and each[0].lower() in _CREDENTIALS)
        ]
        milliseconds = max(int(left * const.MILLIS), 1)
        headers += [
            (const.DEADLINE, str(milliseconds).encode()),
            (const.TARGET, upstream.id.encode()),
        ]
        if call.team:
            headers.append((const.TENANT, call.team.encode()))
        if resume_after:
            headers.append((const.RESUME, str(resume_after).encode()))
        return Request(call.request.method, call.request.target, headers)

    def compose(self, request_id: str, host: str, path: str) -> Request:
        """Return a request that this instance itself makes."""
        headers = [
            (b'Host', host.encode()),
            (const.REQUEST_ID, request_id.encode()),
        ]
        return Request('POST', path, headers)

    def read_signature(self, headers: Headers) -> str:
        """Return the upstream's signature of an answer, or ''."""
        return find_header(headers, const.SEAL)

    def read(self, call: Call, answer: Answer) -> AnswerMarks:
        """Return what the headers of an answer say about its request."""
        marks = read_marks(call.id, answer)
        if is_signed(answer):
            return marks
        return msgspec.structs.replace(marks, mismatched=True)

    def owns_probe(self, upstream: Upstream, answer: Answer) -> bool:
        """Return whether an answer is the one to a probe of an upstream."""
        return answers_probe(upstream.id, answer)

    def make_probe(self, upstream: Upstream, path: str) -> Request:
        """Return a request for an upstream's health path."""
        host = (b'Host', upstream.address.encode())
        target = (const.TARGET, upstream.id.encode())
        return Request('GET', path, [host, target])

    def read_probe(self, answer: Answer) -> LoadReport | None:
        """Return the reported load, or `None` if another process answered."""
        if answer.status == _MISDIRECTED:
            return None
        load = decode_load(answer.get_header(const.LOAD))
        cold = _parse_figure(answer.get_header(const.COLD))
        cold_for = None if cold is None else cold / const.MILLIS
        return msgspec.structs.replace(load, cold_for=cold_for)


def read_marks(request_id: str, answer: Answer) -> AnswerMarks:
    """Return what the headers of an answer say about a request."""
    not_run = (
        bool(answer.get_header(const.NOT_RUN)) or answer.status == _MISDIRECTED
    )
    return AnswerMarks(
        not_run=not_run,
        mismatched=not answers_request(request_id, answer),
        load=decode_load(answer.get_header(const.LOAD)),
    )


def to_headers(headers: dict[str, str], team: TeamId) -> Headers:
    """Return an item's headers as they are sent to a sampler.

    Those that are set here or concern the connection replace what the trainer
    sent. A job's team replaces any team and key: a trainer must not choose the
    team of its items, and samplers receive no keys.
    """
    replaced = _SET_FOR_ITEMS | (_TEAM_HEADERS if team else frozenset())
    encoded = (
        (name.encode('latin-1'), value.strip().encode('latin-1'))
        for name, value in headers.items()
    )
    kept = [
        each
        for each in drop_hop_by_hop(encoded)
        if each[0].lower() not in replaced
    ]
    return [*kept, (const.TENANT, team.encode())] if team else kept


def decode_load(text: str) -> LoadReport:
    """Return the load of "running,waiting,slots" or "...,slowdown"."""
    parts = [*text.split(','), '', '', ''][:4]
    running, waiting, slots, percent = (_parse_figure(each) for each in parts)
    return LoadReport(
        running=running,
        waiting=waiting,
        slots=slots or None,
        slowdown=percent / _USUAL_PERCENT if percent else None,
    )


def _parse_figure(text: str) -> int | None:
    """Return a whole number, or `None` for anything else."""
    return parse_whole_number(text.strip(), _MAX_DIGITS)
