"""The link to a peer: its connection and the pending requests.

Failure pattern: a device between the two ends drops the state of a connection.
Nothing arrives any more and neither end gets an error, while a new connection
works. A timeout alone can't distinguish this from a slow peer. So the link
requests a heartbeat on a connection with an overdue answer. The peer's socket
task answers heartbeats even when its handlers are slow. Without a heartbeat,
the link probes a new connection. If the new one answers, it replaces the old
one, and the link resends pending requests under the same ids, by which the peer
avoids running them twice. If it does not, the peer is slow or dead, and the
membership decides which.
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
from guavagate.links._compression import (
    ZLIB,
    compress_body,
    decode_body,
    is_large,
)
from guavagate.links._connection import Connection
from guavagate.links._envelope import (
    WIRE_VERSION,
    Envelope,
    EnvelopeType,
    decode_error,
    encode_envelope,
)
from guavagate.links._message_traffic import MessageTraffic
from guavagate.models import InstanceId
from guavagate.util.traffic import Traffic

_LOGGER: Final = logging.getLogger(__name__)

# A heartbeat is requested when an answer is overdue for this time.
HEARTBEAT_AFTER_SECONDS: Final = 0.5
# Unused connections get heartbeats as well.
IDLE_HEARTBEAT_AFTER_SECONDS: Final = 15.0
IDLE_CLOSE_AFTER_SECONDS: Final = 60.0
# Many round trips, which allows for a peer whose tasks are busy for a while.
STALLED_SECONDS: Final = 1.5
PROBE_TIMEOUT_SECONDS: Final = 1.0


@dataclasses.dataclass(slots=True)
class _PendingRequest:
    """A request without a reply."""

    result: 'AsyncResult[Envelope]'
    envelope: Envelope
    first_sent_at: float
    ticket: int | None = None
    resent: bool = False


class Link:
    """The connection to one peer; it is replaced when it stalls.

    Owned by the bus. All methods except `request` return at once.

    Parameters
    ----------
    boot
        Random number of this process; identifies a request together with the
        request's number.
    """

    def __init__(
        self,
        me: InstanceId,
        boot: int,
        peer: InstanceId,
        connect: Callable[[], zmq.Socket],
        clock: Clock,
        traffic: Traffic,
        messages: MessageTraffic,
    ) -> None:
        self._me = me
        self._boot = boot
        self._peer = peer
        self._connect = connect
        self._clock = clock
        self._traffic = traffic
        self._messages = messages
        self._pending: dict[int, _PendingRequest] = {}
        self._used_at = clock.now()
        self._probe: Connection | None = None
        self._slow = False
        self._current = self._open()
        self._current.ping()  # The answer carries the boot of the peer.

    def request(
        self, number: int, kind: str, body: bytes, timeout: float
    ) -> bytes | msgspec.Raw:
        """Send a request and return the body of its reply."""
        envelope = self._wrap(EnvelopeType.REQUEST, number, kind, body)
        pending = _PendingRequest(AsyncResult(), envelope, self._clock.now())
        pending.ticket = self._put(envelope)
        self._pending[number] = pending
        try:
            with self._clock.timeout(
                timeout, lambda: self._make_timeout_error(pending)
            ):
                reply = pending.result.get()
        finally:
            self._pending.pop(number, None)
        try:
            return decode_body(reply)
        except msgspec.MsgspecError as error:
            raise self._make_uncertain_error(f'sent {error}') from error

    def send(self, kind: str, body: bytes) -> None:
        """Send a one-way message; raise `LinkRefusedError` on a full queue."""
        self._put(self._wrap(EnvelopeType.SEND, 0, kind, body))

    def check(self) -> bool:
        """Check for a stall; return False if the link is idle for long."""
        now = self._clock.now()
        current = self._current
        if self._needs_heartbeat(now):
            current.ping()
        if (
            self._probe is None
            and current.unanswered_seconds() > STALLED_SECONDS
        ):
            self._probe = self._open()
            self._probe.ping()
        elif (
            self._probe
            and self._probe.unanswered_seconds() > PROBE_TIMEOUT_SECONDS
        ):
            self._drop_probe()
        return (
            bool(self._pending)
            or now - self._used_at < IDLE_CLOSE_AFTER_SECONDS
        )

    def close(self) -> None:
        """Close the connection; pending requests fail with `LinkError`."""
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
            self._handle_loss,
        )

    def _needs_heartbeat(self, now: float) -> bool:
        """Return whether a message from the peer is overdue."""
        since_message = now - self._current.last_message_at
        if since_message > IDLE_HEARTBEAT_AFTER_SECONDS:
            return True
        if since_message < HEARTBEAT_AFTER_SECONDS:
            return False
        if self._used_at > self._current.last_message_at:
            return now - self._used_at > HEARTBEAT_AFTER_SECONDS
        return bool(self._pending)

    def _drop_probe(self) -> None:
        """Close the probe: the peer is slow, not the connection stalled."""
        if self._probe is not None:
            self._probe.close()
            self._probe = None
        if not self._slow:
            self._slow = True
            write(_LOGGER, fleet.LINK_SLOW, peer=self._peer)

    def _wrap(
        self, act: EnvelopeType, number: int, kind: str, body: bytes
    ) -> Envelope:
        packed = None
        if self._current.accepts and is_large(body):
            far = self._messages.is_between_zones(self._peer)
            packed = compress_body(body) if far else None
        return Envelope(
            WIRE_VERSION,
            act,
            number,
            self._me,
            kind,
            msgspec.Raw(packed or body),
            self._boot,
            codec=ZLIB if packed else 0,
            accepts=ZLIB,
        )

    def _put(self, envelope: Envelope) -> int:
        self._used_at = self._clock.now()
        ticket = self._put_frame(envelope)
        if ticket is None:
            raise LinkRefusedError(
                f'the queue to {self._peer} is full',
                'retry later or at another instance',
            )
        return ticket

    def _put_frame(self, envelope: Envelope) -> int | None:
        frame = encode_envelope(envelope)
        ticket = self._current.put([frame])
        if ticket is not None:
            self._messages.record_sent(self._peer, envelope.kind, len(frame))
        return ticket

    def _receive(
        self, source: Connection, envelope: Envelope, size: int
    ) -> None:
        if source is self._probe:
            self._replace(source)
            return
        self._slow = False
        pending = self._pending.get(envelope.id)
        if pending is None:  # A heartbeat, or a reply after the timeout.
            return
        self._pending.pop(envelope.id)
        kind = pending.envelope.kind
        self._messages.record_received(self._peer, kind, size)
        if envelope.act == EnvelopeType.REPLY:
            pending.result.set(envelope)
            return
        error: Exception = decode_error(envelope.body)
        if envelope.act == EnvelopeType.REFUSED and pending.resent:
            # The peer may have handled the first message.
            error = self._make_uncertain_error('refused a repeated message')
        pending.result.set_exception(error)

    def _replace(self, probe: Connection) -> None:
        """Switch to the new connection and resend pending requests."""
        old, self._current, self._probe = self._current, probe, None
        if old.unanswered_seconds() == 0:  # It has answered meanwhile.
            self._current = old
            probe.close()
            return
        write(
            _LOGGER,
            fleet.LINK_STALLED,
            peer=self._peer,
            seconds=round(old.unanswered_seconds(), 1),
            waiting=len(self._pending),
        )
        for pending in list(self._pending.values()):
            self._resend(pending, old)
        old.close()

    def _resend(self, pending: _PendingRequest, old: Connection) -> None:
        """Resend a request if the peer can recognise it.

        A new process does not know which requests its predecessor handled.
        """
        unsent = pending.ticket is not None and old.withdraw(pending.ticket)
        is_same_process = old.boot and old.boot == self._current.boot
        if not unsent and not is_same_process:
            self._pending.pop(pending.envelope.id, None)
            problem = 'lost its connection and may have restarted'
            pending.result.set_exception(self._make_uncertain_error(problem))
            return
        envelope = pending.envelope
        if not unsent:
            pending.resent = True
            age = self._clock.now() - pending.first_sent_at
            envelope = msgspec.structs.replace(envelope, age=age)
        pending.ticket = self._put_frame(envelope)

    def _make_timeout_error(self, pending: _PendingRequest) -> Exception:
        return self._withdraw(pending, 'gave no reply in time')

    def _withdraw(self, pending: _PendingRequest, problem: str) -> LinkError:
        """Withdraw a request if it is still queued; return its error."""
        unsent = pending.ticket is not None and self._current.withdraw(
            pending.ticket
        )
        if unsent and not pending.resent:
            return LinkRefusedError(
                f'{self._peer} could not be reached',
                'ask another instance; this one was not given the message',
            )
        return self._make_uncertain_error(problem)

    def _make_uncertain_error(self, problem: str) -> LinkError:
        return LinkError(
            f'{self._peer} {problem}',
            'find out whether it handled the message before asking again',
        )

    def _handle_loss(self, source: Connection) -> None:
        if source is self._current:
            self._fail_all()
        elif source is self._probe:
            self._drop_probe()

    def _fail_all(self) -> None:
        """Fail pending requests when the connection breaks or can't be made."""
        waiting, self._pending = self._pending, {}
        for pending in waiting.values():
            pending.result.set_exception(
                self._withdraw(pending, 'lost its connection')
            )
