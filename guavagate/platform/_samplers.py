"""Client for model samplers: items, reports and version orders."""

from typing import Final

import msgspec

from guavagate.exceptions import UpstreamError, UpstreamNotStartedError
from guavagate.helpers.decoding import decode_json
from guavagate.helpers.event_stream import (
    EventStream,
    make_foreign_block_logger,
)
from guavagate.helpers.numbers import WholeNumber, floor_number
from guavagate.http1 import Answer, ConnectionPool, Request
from guavagate.platform import const
from guavagate.platform._answers import answers_order, answers_report
from guavagate.platform._dialect import read_marks, to_headers
from guavagate.platform._servers import ModelState, read_models
from guavagate.ports.sampler import (
    ITEM_METHOD,
    ItemFailedError,
    ItemImpossibleError,
    ItemRequest,
    OrderRefusedError,
    SamplerReport,
    VersionOrder,
)
from guavagate.ports.upstreams import Upstream

_OK: Final = 200
_ACCEPTED: Final = 202
_IMPOSSIBLE: Final = 422
_FAILED: Final = 500
REPORT_SECONDS: Final = 1.0
ORDER_SECONDS: Final = 1.0
# Answers to reports and orders; a report names each run of its sampler.
MAX_CONTROL_BYTES: Final = 1_000_000
_CONTINUE: Final = 'continue'
_WAIT: Final = 'wait'


class _Report(msgspec.Struct, rename='kebab'):
    models: list[ModelState] = []
    busy: bool = False
    seq: WholeNumber = 0
    num_waiting: WholeNumber = 0
    num_running: WholeNumber = 0
    born: float = 0


class PlatformSamplers:
    """Implements `ports.sampler.SamplerClient`."""

    def __init__(self, pool: ConnectionPool) -> None:
        self._pool = pool

    def run(
        self, upstream: Upstream, item: ItemRequest, model: str
    ) -> EventStream:
        """Start an item and wait for the headers of its stream."""
        try:
            own = to_headers(item.headers, item.team)
        except UnicodeError as error:
            raise ItemImpossibleError from error
        headers = [
            (b'Host', item.host.encode()),
            (const.REQUEST_ID, item.id.encode()),
            (const.TARGET, upstream.id.encode()),
            *own,
        ]
        if item.resume_after:
            after = str(item.resume_after).encode()
            headers.append((const.RESUME, after))
        request = Request(ITEM_METHOD, item.path, headers)
        answer = self._pool.send(
            upstream.address, request, item.body, timeout=None
        )
        _raise_unless_stream(item.id, upstream, answer)
        return EventStream(
            answer,
            item.resume_after,
            const.VERSION,
            make_foreign_block_logger(item.id, upstream.id),
        )

    def report(self, upstream: Upstream) -> SamplerReport:
        """Return the sampler's state."""
        headers = [
            (b'Host', upstream.address.encode()),
            (const.TARGET, upstream.id.encode()),
        ]
        answer, body = self._pool.fetch(
            upstream.address,
            Request('GET', '/report', headers),
            timeout=REPORT_SECONDS,
            limit=MAX_CONTROL_BYTES,
            is_own=answers_report,
        )
        if answer.status != _OK:
            raise _make_error(f'{upstream.id} answered {answer.status}')
        try:
            report = decode_json(body, _Report)
        except msgspec.MsgspecError as error:
            raise _make_error(f'{upstream.id} sent no valid report') from error
        return SamplerReport(
            busy=report.busy,
            orders_taken=report.seq,
            versions=read_models(report.models),
            running=report.num_running,
            waiting=report.num_waiting,
            incarnation=floor_number(report.born),
        )

    def order(self, upstream: Upstream, order: VersionOrder) -> bool:
        """Order a version; return whether the sampler already had it."""
        body = msgspec.json.encode(
            {
                'op': 'version',
                'model': order.model,
                'version': order.version,
                'mode': _CONTINUE if order.keep_running else _WAIT,
                'holder': order.holder,
                'fence': order.generation,
                'precondition': order.orders_taken,
            }
        )
        headers = [
            (b'Host', upstream.address.encode()),
            (const.TARGET, upstream.id.encode()),
            (b'Content-Type', b'application/json'),
        ]
        answer, text = self._pool.fetch(
            upstream.address,
            Request('POST', '/order', headers),
            body,
            timeout=ORDER_SECONDS,
            limit=MAX_CONTROL_BYTES,
            is_own=answers_order,
        )
        if answer.status not in {_OK, _ACCEPTED}:
            raise OrderRefusedError(
                f'{upstream.id} answered {answer.status}: {text[:100]!r}'
            )
        return answer.status == _OK

    def count_idle_connections(self, upstream: Upstream) -> int:
        """Return how many items could start without a new connection."""
        return self._pool.count_idle_connections(upstream.address)


def _raise_unless_stream(item: str, upstream: Upstream, answer: Answer) -> None:
    """Raise an error unless the answer is the stream of this item."""
    marks = read_marks(item, answer)
    if marks.mismatched:
        answer.close()
        raise _make_error(f'{upstream.id} sent the answer to another request')
    if answer.status == _OK:
        return
    answer.close()
    if marks.not_run:
        raise UpstreamNotStartedError(
            f'{upstream.id} answered {answer.status}, not run',
            'use another sampler',
        )
    if answer.status == _IMPOSSIBLE:
        raise ItemImpossibleError
    if answer.status == _FAILED:
        raise ItemFailedError
    raise _make_error(f'{upstream.id} answered {answer.status}')


def _make_error(problem: str) -> UpstreamError:
    return UpstreamError(problem, 'no action; the item continues elsewhere')
