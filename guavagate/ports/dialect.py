"""Interface to the wire format of requests to upstreams and answers."""

from typing import Protocol

import msgspec

from guavagate.http1 import Answer, Headers, Request, find_header
from guavagate.models import ANYWHERE, Regions, TeamId
from guavagate.ports.load import LoadReport
from guavagate.ports.upstreams import Upstream
from guavagate.quarantine import RequestContent


class Call(msgspec.Struct, frozen=True, kw_only=True):
    """A caller's request to forward; `until` is on the runtime's clock.

    `team` is the team of the caller's key. `keyed` means that the
    configuration defines keys, so a caller's credentials must not be forwarded
    to an upstream. `regions` are those to which the request is bound. The fleet
    never stops a request that is `owed`: it belongs to an accepted job, which
    can't be completed without it.
    """

    id: str
    request: Request
    body: bytes
    until: float
    resume_after: int = 0
    team: TeamId = TeamId('')
    keyed: bool = False
    regions: Regions = ANYWHERE
    owed: bool = False

    @property
    def content(self) -> RequestContent:
        """Return what the request is, whatever its id."""
        return RequestContent(
            team=self.team,
            method=self.request.method,
            host=find_header(self.request.headers, b'host'),
            target=self.request.target,
            body=self.body,
        )


class AnswerMarks(msgspec.Struct, frozen=True, kw_only=True):
    """Metadata of an answer.

    `not_run`: the upstream has not run the request.
    `mismatched`: the answer belongs to another request.
    `load`: the upstream's load as far as it reports it.
    """

    not_run: bool = False
    mismatched: bool = False
    load: LoadReport = LoadReport()

    @property
    def busy(self) -> int | None:
        """Return the upstream's running and waiting requests, if known."""
        return self.load.busy


class Dialect(Protocol):
    """Encodes requests and decodes answers in the upstreams' format.

    Attributes
    ----------
    version_name
        Name of the line in an event that contains the weight version.
    """

    version_name: bytes

    def prepare(
        self, call: Call, upstream: Upstream, left: float, resume_after: int
    ) -> Request:
        """Return the request to send to an upstream.

        Parameters
        ----------
        left
            Seconds that the upstream has to answer.
        resume_after
            Number of the last event that the caller has received, 0 for none.
        """

    def compose(self, request_id: str, host: str, path: str) -> Request:
        """Return a request of this instance, still to be prepared."""

    def read_signature(self, headers: Headers) -> str:
        """Return the signature of the answering upstream, or an empty text."""

    def read(self, call: Call, answer: Answer) -> AnswerMarks:
        """Return the metadata from the head of an answer."""


class ProbeDialect(Protocol):
    """Encodes probes of upstreams' health paths and decodes their answers."""

    def make_probe(self, upstream: Upstream, path: str) -> Request:
        """Return a request that an upstream answers without taking a slot."""

    def owns_probe(self, upstream: Upstream, answer: Answer) -> bool:
        """Return whether an answer is the one to a probe of an upstream."""

    def read_probe(self, answer: Answer) -> LoadReport | None:
        """Return the reported load, or `None` if another process answered."""


class UpstreamDialect(Dialect, ProbeDialect, Protocol):
    """Encodes and decodes both requests and probes."""
