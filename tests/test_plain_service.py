"""Clients of plain, scoring and weight services against stand-ins."""

from collections.abc import Iterator
from pathlib import Path

import pytest

from guavagate.clock import SystemClock
from guavagate.exceptions import UpstreamError, UpstreamNotStartedError
from guavagate.integrations._http import Connections
from guavagate.integrations.plain_service import HttpPlainService
from guavagate.integrations.scoring_service import HttpScoringService
from guavagate.integrations.weight_store import HttpWeightStore
from guavagate.measure.history import RanAtUpstream, read_history
from guavagate.models import RequestId, RunId, SampleId, WeightVersion
from guavagate.ports.plain_service import ServiceAnswer, ServiceRequest
from standins import plain, scoring, weights
from standins._web import Server, serve

_TIMEOUT = 5.0


@pytest.fixture
def server(tmp_path: Path) -> Iterator[Server]:
    """Start a plain service that records the requests it runs."""
    options = plain.PlainOptions(work_s=0, history=str(tmp_path))
    running = serve(plain.make_app(options))
    yield running
    running.stop()


def _set_faults(server: Server, body: bytes) -> None:
    """Set the faults of a stand-in."""
    connections = Connections(SystemClock())
    answer = connections.send(
        server.address, 'POST', '/control/faults', body=body, timeout=_TIMEOUT
    )
    assert connections.read(server.address, answer, _TIMEOUT) == b'{}'


def _call(server: Server, exchange: str) -> ServiceAnswer:
    """Send one booking request."""
    request = ServiceRequest(
        exchange=RequestId(exchange),
        method='POST',
        path=f'/slots/{exchange}?day=1',
        headers=(('Connection', 'x-hop'), ('X-Hop', '1'), ('X-End', '2')),
        body=b'slot 9',
        key='key',
    )
    return HttpPlainService(SystemClock()).call(
        server.address, request, _TIMEOUT
    )


def _list_runs(folder: Path) -> list[str]:
    """Return the ids of the requests that ran."""
    history = read_history(*folder.glob('*.jsonl'))
    return [one.request for one in history if isinstance(one, RanAtUpstream)]


@pytest.mark.parametrize(
    ('fault', 'ran', 'not_started'),
    [
        (b'{"leaving": true}', [], True),
        (b'{"reset": 1}', [], False),
        (b'{"crash_after_run": 1}', ['b'], False),
        (b'{"crossed": 1}', ['b'], False),
    ],
)
def test_a_failed_call_says_whether_it_may_have_run(
    server: Server,
    tmp_path: Path,
    fault: bytes,
    ran: list[str],
    *,
    not_started: bool,
) -> None:
    """One call succeeds, the next one meets a fault.

    The upstream refuses, resets the connection before the run, loses its answer
    after the run, or answers with the id of another exchange. Only the refusal
    is "not started": a reset looks the same before and after the run.
    """
    assert _call(server, 'a').body == b'a POST /slots/a slot 9'
    _set_faults(server, fault)
    with pytest.raises(UpstreamError) as caught:
        _call(server, 'b')
    assert isinstance(caught.value, UpstreamNotStartedError) is not_started
    assert _list_runs(tmp_path) == ['a', *ran]


def test_a_score_of_another_sample_is_refused() -> None:
    """The service answers for another sample; the score is not used."""
    server = serve(scoring.make_app())
    client = HttpScoringService(SystemClock())
    args = (server.address, SampleId('s1'), 'prompt', 'text', _TIMEOUT)
    assert client.score(*args) == scoring.score_text('text')
    _set_faults(server, b'{"crossed": true}')
    with pytest.raises(UpstreamError, match='instead of s1'):
        client.score(*args)
    server.stop()


def test_the_weight_store_reports_existing_versions() -> None:
    """An existing version has an entry with the rate limit."""
    server = serve(weights.make_app(weights.WeightStoreOptions(rate=3)))
    client = HttpWeightStore(SystemClock())
    args = (server.address, RunId('r'), WeightVersion(2), _TIMEOUT)
    found = client.find(*args)
    assert found is not None
    assert found.fetches_per_second == 3
    _set_faults(server, b'{"missing": [2]}')
    assert client.find(*args) is None
    server.stop()
