"""Forwarded streams over real sockets: resumed or cut, never corrupted."""

from collections.abc import Iterator

import pytest

from guavagate.forwarding import OutcomeKind
from guavagate.models import UpstreamId
from tests.forwarding.stream_bench import (
    END,
    FULL,
    HEAD,
    StreamBench,
    make_chunk,
    make_event,
    read_body,
)
from tests.helpers.foreign_blocks import FOREIGN_BLOCKS


@pytest.fixture
def bench() -> Iterator[StreamBench]:
    """Return a bench without upstreams."""
    running = StreamBench()
    yield running
    for server in running.servers:
        server.stop()


def _list_event_ids(received: bytes) -> list[int]:
    lines = received.split(b'\n')
    return [int(line[4:]) for line in lines if line.startswith(b'id: ')]


def test_a_complete_stream_is_forwarded_and_ended(
    bench: StreamBench,
) -> None:
    """Each event arrives once, and the upstream's end of stream is sent."""
    bench.add(
        'a',
        'z',
        HEAD + make_chunk(make_event(1)) + make_chunk(make_event(2)) + END,
    )
    received = bench.stream()
    assert _list_event_ids(received) == [1, 2]
    assert received.endswith(END)


def test_a_stream_cut_within_an_event_resumes_at_another_upstream(
    bench: StreamBench,
) -> None:
    """The first upstream dies in the middle of its third event.

    The incomplete event is dropped and another upstream resumes after the
    second one. No event is missing and none arrives twice.
    """
    first = (
        make_chunk(make_event(1))
        + make_chunk(make_event(2))
        + make_chunk(b'id: 3\nda')
    )
    bench.add('a', 'z', HEAD + first)
    bench.add('b', 'y', HEAD + make_chunk(make_event(3)) + END)
    received = bench.stream()
    assert _list_event_ids(received) == [1, 2, 3]
    assert received.count(b'id: 3') == 1
    assert received.endswith(END)
    assert b'Last-Event-Id: 2' in bench.requests['b']


def test_a_stream_that_may_not_be_resumed_is_cut_and_runs_once(
    bench: StreamBench,
) -> None:
    """The caller must see that the stream is not complete."""
    bench.add('a', 'z', HEAD + make_chunk(make_event(1)))
    bench.add('b', 'y', HEAD + make_chunk(make_event(2)) + END)
    received = bench.stream(resumable=False)
    assert _list_event_ids(received) == [1]
    assert not received.endswith(END)
    assert 'b' not in bench.requests


def test_a_stopped_stream_is_refused_and_reaches_no_upstream(
    bench: StreamBench,
) -> None:
    """Upstreams have ended under it at other instances."""
    bench.add('a', 'z', HEAD + make_chunk(make_event(1)) + END)
    bench.stop()
    assert b' 503 ' in bench.stream()
    assert bench.outcomes[0].kind is OutcomeKind.NOT_RUN
    assert bench.outcomes[0].retry_after > 1
    assert not bench.requests


def test_a_stream_that_is_stopped_on_the_way_does_not_resume(
    bench: StreamBench,
) -> None:
    """Its upstream is the third to end under it.

    Its caller must see that the stream is not complete.
    """
    bench.add('a', 'z', HEAD + make_chunk(make_event(1)), then=bench.stop)
    bench.add('b', 'y', HEAD + make_chunk(make_event(2)) + END)
    received = bench.stream()
    assert _list_event_ids(received) == [1]
    assert not received.endswith(END)
    assert 'b' not in bench.requests


def test_an_upstream_may_be_silent_in_a_stream_that_runs_once(
    bench: StreamBench, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The stream was cut after a pause, with most of the caller's time left.

    Upstreams pause while they read a preempted request again.
    """
    monkeypatch.setattr('guavagate.forwarding._stream.STALL_SECONDS', 0.2)
    rest = make_chunk(make_event(2)) + END
    bench.add('a', 'z', HEAD + make_chunk(make_event(1)), later=rest)
    received = bench.stream(resumable=False)
    assert _list_event_ids(received) == [1, 2]
    assert received.endswith(END)


def test_a_resumable_stream_goes_on_elsewhere_after_a_silence(
    bench: StreamBench, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Its caller would leave while it waits for a lost upstream."""
    monkeypatch.setattr('guavagate.forwarding._stream.STALL_SECONDS', 0.2)
    rest = make_chunk(make_event(2)) + END
    bench.add('a', 'z', HEAD + make_chunk(make_event(1)), later=rest)
    bench.add('b', 'y', HEAD + rest)
    received = bench.stream()
    assert _list_event_ids(received) == [1, 2]
    assert received.endswith(END)
    assert b'Last-Event-Id: 1' in bench.requests['b']


def test_a_full_upstream_is_skipped_whatever_the_route(
    bench: StreamBench,
) -> None:
    """It ran nothing, so another may run the request."""
    bench.add('a', 'z', FULL)
    bench.add('b', 'y', HEAD + make_chunk(make_event(1)) + END)
    assert _list_event_ids(bench.stream(resumable=False)) == [1]


def test_a_stream_is_refused_as_not_run_if_all_upstreams_are_full(
    bench: StreamBench,
) -> None:
    """Nothing was sent to the caller yet, so it gets a refusal."""
    bench.add('a', 'z', FULL)
    bench.add('b', 'y', FULL)
    assert b' 503 ' in bench.stream()
    assert bench.outcomes[0].kind is OutcomeKind.NOT_RUN


def test_a_caller_that_disconnects_ends_the_upstreams_work(
    bench: StreamBench,
) -> None:
    """The upstream sees its connection closed while it still streams."""
    bench.add('a', 'z', HEAD + make_chunk(make_event(1)), pause=2)
    bench.add('b', 'y', HEAD + make_chunk(make_event(2)), pause=2)
    bench.stream(leave=True)
    assert bench.disconnected == ['a']
    # The upstream is not at fault, and nobody is there to resume for.
    assert list(bench.requests) == ['a']
    assert bench.outcomes[0].kind is OutcomeKind.CALLER_LEFT
    assert bench.upstreams.load(UpstreamId('a')).failures == 0


def test_the_answer_to_another_request_is_not_forwarded(
    bench: StreamBench,
) -> None:
    """An upstream sends the late answer to an earlier request.

    The caller receives its own answer from another upstream, and no part of
    the mismatched one.
    """
    head = HEAD.replace(b'Content-Type', b'Answers: 9\r\nContent-Type')
    bench.add('a', 'z', head + make_chunk(b'id: 1\ndata: other\n\n') + END)
    bench.add('b', 'y', HEAD + make_chunk(make_event(1)) + END)
    received = bench.stream()
    assert _list_event_ids(received) == [1]
    assert b'other' not in received


@pytest.mark.parametrize('resumable', [True, False])
@pytest.mark.parametrize('block', FOREIGN_BLOCKS.values(), ids=FOREIGN_BLOCKS)
def test_foreign_bytes_within_a_stream_do_not_reach_the_caller(
    bench: StreamBench, block: bytes, *, resumable: bool
) -> None:
    """All events follow, so the caller gets its whole answer, and only that."""
    events = [make_event(number) for number in range(1, 6)]
    sent = [*events[:3], b'%b\n\n' % block, *events[3:]]
    bench.add('a', 'z', HEAD + b''.join(map(make_chunk, sent)) + END)
    received = bench.stream(resumable=resumable)
    assert received.endswith(END)
    assert read_body(received) == b''.join(events)


def test_a_damaged_event_is_made_again_by_another_upstream(
    bench: StreamBench,
) -> None:
    """The following events show that one is missing."""
    events = [make_event(number) for number in range(1, 4)]
    damaged = [events[0], b'k2%b' % events[1], events[2]]
    bench.add('a', 'z', HEAD + b''.join(map(make_chunk, damaged)) + END)
    rest = b''.join(map(make_chunk, events[1:]))
    bench.add('b', 'y', HEAD + rest + END)
    received = bench.stream()
    assert received.endswith(END)
    assert read_body(received) == b''.join(events)
    assert b'Last-Event-Id: 1' in bench.requests['b']


def test_a_damaged_event_cuts_a_stream_that_may_not_be_resumed(
    bench: StreamBench,
) -> None:
    """The caller must see that its last event is missing."""
    events = [make_event(number) for number in range(1, 4)]
    damaged = [*events[:2], b'k2%b' % events[2]]
    bench.add('a', 'z', HEAD + b''.join(map(make_chunk, damaged)) + END)
    bench.add('b', 'y', HEAD + make_chunk(events[2]) + END)
    received = bench.stream(resumable=False)
    assert not received.endswith(END)
    assert read_body(received) == b''.join(events[:2])
    assert 'b' not in bench.requests


def test_a_failure_is_forwarded_as_it_stands(bench: StreamBench) -> None:
    """Its body is no event stream."""
    failure = b'HTTP/1.1 500 X\r\nContent-Length: 9\r\n\r\nk2\n\nid: 9'
    bench.add('a', 'z', failure)
    received = bench.stream()
    assert b' 500 ' in received
    assert read_body(received) == b'k2\n\nid: 9'
