"""What requests to upstreams and their answers say, whatever the headers."""

from typing import Protocol

import msgspec

from guavagate.http1 import Answer, Headers, Request
from guavagate.models import TeamId
from guavagate.ports.upstreams import Upstream


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's request that is forwarded; `until` on the runtime's clock.

    `team` is whose key the caller showed; `keyed` says that the configuration
    knows keys, so none of a caller's credentials may go on to an upstream.
    """

    id: str
    request: Request
    body: bytes
    until: float
    resume_after: int = 0
    team: TeamId = TeamId('')
    keyed: bool = False


class AnswerMarks(msgspec.Struct, frozen=True, kw_only=True):
    """What an answer says besides its content.

    `not_run`: the upstream has certainly not run the request.
    `mismatched`: the answer belongs to another request.
    """

    not_run: bool = False
    mismatched: bool = False
    busy: int | None = None


class Dialect(Protocol):
    """Writes requests and reads answers as the upstreams speak."""

    def prepare(
        self, call: Call, upstream: Upstream, left: float, resume_after: int
    ) -> Request:
        """Return the request as it goes to an upstream.

        Parameters
        ----------
        left
            Seconds that the upstream may take.
        resume_after
            The last event that the caller has, 0 for none.
        """

    def compose(self, request_id: str, host: str, path: str) -> Request:
        """Return a request of our own, to be prepared as callers' are."""

    def read_signature(self, headers: Headers) -> str:
        """Return the signature of an answer's upstream, or nothing."""

    def read(self, call: Call, answer: Answer) -> AnswerMarks:
        """Return what an answer's head says."""
