"""Crowds that made an entry run out of memory, descriptors or time."""

import pathlib
from collections.abc import Iterator
from typing import Final

import pytest

from tests.crowds.crowd_bench import (
    ASK_PATH,
    JOBS_PATH,
    LONG_PATH,
    STREAM_PATH,
    WAIT_PATH,
    Bench,
    make_chunked_head,
    make_chunks,
    make_head,
)

_KILOBYTE: Final = 1000
_READ_BUFFER: Final = 4096


@pytest.fixture
def bench(tmp_path: pathlib.Path) -> Iterator[Bench]:
    """Return an entry that ends with the test."""
    running = Bench(tmp_path)
    try:
        running.start()
        yield running
    finally:
        running.stop()


@pytest.mark.parametrize('path', [ASK_PATH, JOBS_PATH])
def test_bodies_in_large_chunks_that_stop_short_of_their_end(
    bench: Bench, path: str
) -> None:
    """Each held its part of a body for as long as its client stayed."""
    body = make_chunks(480 * _KILOBYTE, 40 * _KILOBYTE)

    def behave(_: int) -> None:
        bench.send(bench.connect(), make_chunked_head(path) + body)

    bench.gather(420, behave)
    bench.check()


def test_bodies_of_many_sizes_that_stop_short_of_their_end(
    bench: Bench,
) -> None:
    """Buffers that grow beside each other left holes in the heap."""

    def behave(number: int) -> None:
        size = (20 + 41 * number % 900) * _KILOBYTE
        body = make_chunks(size, 3 * _KILOBYTE)
        bench.send(bench.connect(), make_chunked_head(ASK_PATH) + body)

    bench.gather(420, behave)
    bench.check()


def test_bodies_in_very_small_chunks_that_stop_short_of_their_end(
    bench: Bench,
) -> None:
    """Each byte of them costs many times as much as one of a large chunk."""
    body = make_chunks(150 * _KILOBYTE, 60)

    def behave(_: int) -> None:
        bench.send(bench.connect(), make_chunked_head(ASK_PATH) + body)

    bench.gather(420, behave)
    bench.check()


def test_long_answers_that_many_clients_read_slowly(bench: Bench) -> None:
    """Each whole answer waited in memory for its client."""

    def behave(_: int) -> None:
        sock = bench.connect(_READ_BUFFER)
        bench.send(sock, make_head('GET', LONG_PATH))
        bench.receive(sock, 10 * _KILOBYTE)

    bench.gather(60, behave)
    bench.check()


def test_streams_that_many_clients_read_slowly(bench: Bench) -> None:
    """Each may buffer some hundred kilobytes of events."""

    def behave(_: int) -> None:
        sock = bench.connect(_READ_BUFFER)
        bench.send(sock, make_head('POST', STREAM_PATH, 'Content-Length: 0'))
        bench.receive(sock, 10 * _KILOBYTE)

    bench.gather(400, behave)
    bench.check()


def test_heads_that_do_not_end(bench: Bench) -> None:
    """Connections without a request were not counted at all."""
    head = make_head('GET', ASK_PATH, f'X-Filler: {"f" * 15_000}')

    def behave(_: int) -> None:
        bench.send(bench.connect(), head[:-2])

    bench.gather(900, behave)
    bench.check()


def test_data_behind_requests_that_are_running(bench: Bench) -> None:
    """What is read ahead of a running request counted as a small constant."""
    requests = make_head('GET', WAIT_PATH) + bytes(600 * _KILOBYTE)

    def behave(_: int) -> None:
        bench.send(bench.connect(), requests)

    bench.gather(400, behave)
    bench.check()


def test_clients_that_go_on_sending_after_a_refusal(bench: Bench) -> None:
    """A refused client was no longer counted while its body was discarded."""
    head = make_head('POST', ASK_PATH, 'Content-Length: 33000000')
    body = bytes(2000 * _KILOBYTE)

    def behave(_: int) -> None:
        for sock in (bench.connect(), bench.connect(), bench.connect()):
            bench.send(sock, head + body)

    bench.gather(300, behave)
    bench.check()


def test_more_connections_than_descriptors(bench: Bench) -> None:
    """The process could open no connection to its store or its upstreams."""

    def behave(number: int) -> None:
        sock = bench.connect()
        if number % 2:
            bench.send(sock, make_head('GET', f'{ASK_PATH}idle'))
            bench.receive(sock, 1)

    bench.gather(1500, behave)
    bench.check()


def test_crowds_beside_each_other(bench: Bench) -> None:
    """What bounds one crowd must leave room for the others."""
    chunks = make_chunks(200 * _KILOBYTE, 5 * _KILOBYTE)
    large = make_chunks(900 * _KILOBYTE, 90 * _KILOBYTE)

    def behave(number: int) -> None:
        sock = bench.connect(_READ_BUFFER)
        if number % 4 == 0:
            bench.send(sock, make_chunked_head(ASK_PATH) + chunks)
        elif number % 4 == 1:
            bench.send(sock, make_chunked_head(JOBS_PATH) + large)
        elif number % 4 == 2:
            bench.send(sock, make_head('GET', LONG_PATH))
            bench.receive(sock, 10 * _KILOBYTE)
        else:
            request = make_head('POST', STREAM_PATH, 'Content-Length: 0')
            bench.send(sock, request)

    bench.gather(320, behave)
    bench.check()
