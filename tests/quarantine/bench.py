"""A bench for what follows from ends of upstreams."""

from typing import Final

from guavagate.models import UpstreamId
from guavagate.quarantine import RequestIdentity
from guavagate.quarantine._evidence import Evidence
from guavagate.quarantine._messages import SuspectRun, UpstreamEnd

# Shorter than a run that is likely to meet ends that it does not cause.
SHORT: Final = 0.05


class Bench:
    """Evidence of one fleet, with upstreams that end at distinct times."""

    def __init__(self) -> None:
        self.evidence = Evidence()
        self.now = float(0)
        self.stopped: list[RequestIdentity] = []
        self._ends = 0
        self._reports = 0

    def end(self, *requests: RequestIdentity, seconds: float = SHORT) -> str:
        """End a new upstream under some requests; return its id."""
        self.now += 3
        self._ends += 1
        name = f'i-{self._ends}'
        self.report(name, *requests, seconds=seconds)
        return name

    def report(
        self,
        upstream: str,
        *requests: RequestIdentity,
        seconds: float = SHORT,
        incarnation: int = 1,
        report: str | None = None,
    ) -> None:
        """Report the end of an upstream, and judge."""
        runs = tuple(
            SuspectRun(identity=each, seconds=seconds) for each in requests
        )
        self._reports += 1
        end = UpstreamEnd(
            report=f'{self._reports}' if report is None else report,
            upstream=UpstreamId(upstream),
            incarnation=incarnation,
            runs=runs,
        )
        self.evidence.record_end(end, self.now)
        self.judge()

    def answer(self, request: RequestIdentity) -> None:
        """Answer a request, and judge."""
        self.evidence.record_answer(request)
        self.judge()

    def judge(self) -> None:
        """Stop whom the evidence names."""
        for culprit in self.evidence.find_culprits(self.is_stopped, self.now):
            self.stopped.append(culprit.identity)
            self.evidence.record_stop(self.now)

    def is_stopped(self, request: RequestIdentity) -> bool:
        """Return whether a request is stopped."""
        return any(each.covers(request) for each in self.stopped)
