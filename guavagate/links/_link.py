"""One link: the connection in use to a peer and what waits for answers.

Failure: something between the two ends loses track of a connection. Nothing
arrives any more and nothing says so, while a new connection works. A time
limit alone can't tell that from a slow peer. So a connection that owes an
answer is asked for a heartbeat, which the peer's socket task gives even when
its handlers are slow; without one, a new connection is probed. If the new one
answers, it replaces the old one and what waits is asked for again, under the
same id, which the peer's memory of ids keeps from running twice. If it does
not, the peer is slow or dead, which is for the membership to say.
"""

import dataclasses
import logging
from collections.abc import Callable
from typing import Final

import msgspec
import zmq
from gevent.event import AsyncResult

from guavagate.clock import Clock
from guavagate.events import fleet, write
from guavagate.exceptions import LinkError, LinkRefusedError
from guavagate.links._connection import Connection
from guavagate.links._envelope import (
    WIRE_VERSION,
    Act,
    Envelope,
    decode_error,
    encode_envelope,
)
from guavagate.models import InstanceId
from guavagate.util.traffic import Traffic

_LOGGER: Final = logging.getLogger(__name__)

# Without an answer for so long, a heartbeat is asked for.
HEARTBEAT_SECONDS: Final = 0.5
# A connection in no use is still asked now and then.
IDLE_HEARTBEAT_SECONDS: Final = 15.0
IDLE_CLOSE_SECONDS: Final = 60.0
# Many times a round trip, also for a peer whose tasks are busy for a while.
SILENT_SECONDS: Final = 1.5
PROBE_SECONDS: Final = 1.0


@dataclasses.dataclass(slots=True)
class _Waiting:
    """One request without its reply."""

    result: 'AsyncResult[msgspec.Raw]'
    envelope: Envelope
    since: float
    ticket: int | None = None
    repeated: bool = False


class Link:
    """The connection to one peer, replaced when it falls silent.

    Owned by the bus; all methods but `request` return at once.

    Parameters
    ----------
    boot
        Drawn by this process; with a request's number its id.
    """

    def __init__(
        self,
        me: InstanceId,
        boot: int,
        peer: InstanceId,
        connect: Callable[[], zmq.Socket],
        clock: Clock,
        traffic: Traffic,
    ) -> None:
        self._me = me
        self._boot = boot
        self._peer = peer
        self._connect = connect
        self._clock = clock
        self._traffic = traffic
        self._waiting: dict[int, _Waiting] = {}
        self._used_at = clock.now()
        self._probe: Connection | None = None
        self._slow = False
        self._current = self._open()
        self._current.ping()  # The answer names the peer's process.

    def request(
        self, number: int, kind: str, body: bytes, timeout: float
    ) -> msgspec.Raw:
        """Send and wait for the reply's body."""
        envelope = self._wrap(Act.REQUEST, number, kind, body)
        entry = _Waiting(AsyncResult(), envelope, self._clock.now())
        entry.ticket = self._put(envelope)
        self._waiting[number] = entry
        try:
            with self._clock.timeout(timeout, lambda: self._give_up(entry)):
                return entry.result.get()
        finally:
            self._waiting.pop(number, None)

    def send(self, kind: str, body: bytes) -> None:
        """Send one way; a full queue raises `LinkRefusedError`."""
        self._put(self._wrap(Act.SEND, 0, kind, body))

    def check(self) -> bool:
        """Look for silence; return whether the link is still of use."""
        now = self._clock.now()
        current = self._current
        if self._owes_answer(now):
            current.ping()
        if self._probe is None and current.unanswered() > SILENT_SECONDS:
            self._probe = self._open()
            self._probe.ping()
        elif self._probe and self._probe.unanswered() > PROBE_SECONDS:
            self._drop_probe()
        return bool(self._waiting) or now - self._used_at < IDLE_CLOSE_SECONDS

    def close(self) -> None:
        """Close the connection; what waits fails with `LinkError`."""
        self._current.close()
        if self._probe is not None:
            self._probe.close()
            self._probe = None
        self._fail_all()

    def join(self, timeout: float) -> None:
        """Wait until the socket is closed."""
        self._current.join(timeout)

    def _open(self) -> Connection:
        return Connection(
            self._connect(),
            self._clock,
            self._traffic,
            self._receive,
            self._lose,
        )

    def _owes_answer(self, now: float) -> bool:
        """Return whether the connection should have been heard by now."""
        silent = now - self._current.heard_at
        if silent > IDLE_HEARTBEAT_SECONDS:
            return True
        if silent < HEARTBEAT_SECONDS:
            return False
        if self._used_at > self._current.heard_at:
            return now - self._used_at > HEARTBEAT_SECONDS
        return bool(self._waiting)

    def _drop_probe(self) -> None:
        """Give a probe up: the peer is slow, not the connection."""
        if self._probe is not None:
            self._probe.close()
            self._probe = None
        if not self._slow:
            self._slow = True
            write(_LOGGER, fleet.LINK_SLOW, peer=self._peer)

    def _wrap(self, act: Act, number: int, kind: str, body: bytes) -> Envelope:
        return Envelope(
            WIRE_VERSION,
            act,
            number,
            self._me,
            kind,
            msgspec.Raw(body),
            self._boot,
        )

    def _put(self, envelope: Envelope) -> int:
        self._used_at = self._clock.now()
        ticket = self._current.put([encode_envelope(envelope)])
        if ticket is None:
            raise LinkRefusedError(
                f'the queue to {self._peer} is full',
                'retry later or at another instance',
            )
        return ticket

    def _receive(self, source: Connection, envelope: Envelope) -> None:
        if source is self._probe:
            self._replace(source)
            return
        self._slow = False
        entry = self._waiting.get(envelope.id)
        if entry is None:  # A heartbeat, or late: its asker has given up.
            return
        self._waiting.pop(envelope.id)
        if envelope.act == Act.REPLY:
            entry.result.set(envelope.body)
            return
        error: Exception = decode_error(envelope.body)
        if envelope.act == Act.REFUSED and entry.repeated:
            # Refused now; whether the first one was handled is not known.
            error = self._describe_unsure('refused a repeated message')
        entry.result.set_exception(error)

    def _replace(self, probe: Connection) -> None:
        """Use the new connection, and ask again for what waits."""
        old, self._current, self._probe = self._current, probe, None
        if old.unanswered() == 0:  # It was only late.
            self._current = old
            probe.close()
            return
        write(
            _LOGGER,
            fleet.LINK_STALLED,
            peer=self._peer,
            seconds=round(old.unanswered(), 1),
            waiting=len(self._waiting),
        )
        for entry in list(self._waiting.values()):
            self._repeat(entry, old)
        old.close()

    def _repeat(self, entry: _Waiting, old: Connection) -> None:
        """Ask again over the new connection, if the peer can recognise it.

        A process started since does not know what its predecessor handled.
        """
        unsent = entry.ticket is not None and old.withdraw(entry.ticket)
        same = old.boot and old.boot == self._current.boot
        if not unsent and not same:
            self._waiting.pop(entry.envelope.id, None)
            problem = 'lost its connection and may have restarted'
            entry.result.set_exception(self._describe_unsure(problem))
            return
        envelope = entry.envelope
        if not unsent:
            entry.repeated = True
            age = self._clock.now() - entry.since
            envelope = msgspec.structs.replace(envelope, age=age)
        entry.ticket = self._current.put([encode_envelope(envelope)])

    def _give_up(self, entry: _Waiting) -> Exception:
        return self._fail(entry, 'gave no reply in time')

    def _fail(self, entry: _Waiting, problem: str) -> LinkError:
        unsent = entry.ticket is not None and self._current.withdraw(
            entry.ticket
        )
        if unsent and not entry.repeated:
            return LinkRefusedError(
                f'{self._peer} could not be reached',
                'ask another instance; this one was not given the message',
            )
        return self._describe_unsure(problem)

    def _describe_unsure(self, problem: str) -> LinkError:
        return LinkError(
            f'{self._peer} {problem}',
            'find out whether it handled the message before asking again',
        )

    def _lose(self, source: Connection) -> None:
        if source is self._current:
            self._fail_all()
        elif source is self._probe:
            self._drop_probe()

    def _fail_all(self) -> None:
        """Fail what waits, when the connection breaks or can't be made."""
        waiting, self._waiting = self._waiting, {}
        for entry in waiting.values():
            entry.result.set_exception(self._fail(entry, 'lost its connection'))
