"""Decides which requests crash the upstreams that run them; no network access.

Failure pattern: one request ends each upstream that starts to run it and comes
back under other ids. Upstreams also end by other causes, and each end breaks
everything that ran there, mostly requests that only ran beside the cause.
Without a decision, retries take down one upstream after the other. With a
decision by counts alone, requests that were displaced together, and so ran
together again, would be stopped with the one that displaced them.

A request is stopped when three upstreams have ended under it and no other
request can explain all of these ends. One that was answered is innocent: it
would have ended the upstream instead.
"""

import math
from collections import Counter, deque
from collections.abc import Callable
from typing import Final

import msgspec

from guavagate.models import UpstreamId
from guavagate.quarantine._identity import ANY_QUERY, RequestIdentity
from guavagate.quarantine._messages import SuspectRun, UpstreamEnd

# Two ends may be chance for one request in a large fleet, three hardly.
MIN_ENDS: Final = 3
SUSPECT_ENDS: Final = 2
# A request that ran for long is likely to meet an end that it did not cause,
# and two that always ran together can't be told apart. The fourth and fifth end
# decide these cases.
MAX_ENDS: Final = 5
SHORT_RUN_SECONDS: Final = 1.0
# Where processes can't be told apart, a run that started this long after an end
# met another one. Shorter differences may be the time that a report was on its
# way.
NEXT_START_SECONDS: Final = 0.2
EVIDENCE_SECONDS: Final = 600.0
REMEMBERED_ENDS: Final = 128
# When upstreams crash whatever they run, each request seems to be the cause.
MAX_STOPS: Final = 10
STOPS_PERIOD_SECONDS: Final = 60.0

IsStopped = Callable[[RequestIdentity], bool]


class Culprit(msgspec.Struct, frozen=True, kw_only=True):
    """A request to stop, and the upstreams that ended under it."""

    identity: RequestIdentity
    upstreams: tuple[UpstreamId, ...]


class _End:
    """One end of an upstream: the seconds that each request had run there.

    `cause` is the content of the request that caused it, once that is known.
    """

    def __init__(self, end: UpstreamEnd, at: float) -> None:
        self.upstream = end.upstream
        self.incarnation = end.incarnation
        self.at = at
        self.runs: dict[RequestIdentity, float] = {}
        self.reports: set[str] = set()
        self.cause = ''

    def find_seconds(self, identity: RequestIdentity) -> float | None:
        """Return how long a request had run, or `None` if it did not."""
        return min(
            (
                seconds
                for run, seconds in self.runs.items()
                if identity.covers(run)
            ),
            default=None,
        )

    def is_same(self, end: UpstreamEnd, now: float) -> bool:
        """Return whether a report that arrives now is about this end."""
        process = (self.upstream, self.incarnation)
        if process != (end.upstream, end.incarnation):
            return False
        if end.incarnation or end.report in self.reports:
            return True
        longest = max((run.seconds for run in end.runs), default=0)
        return now - longest <= self.at + NEXT_START_SECONDS


class Evidence:
    """The recent ends of upstreams, and what they ran."""

    def __init__(self) -> None:
        self._ends: deque[_End] = deque()
        # Number of runs at these ends by path and by content.
        self._paths: Counter[str] = Counter()
        self._contents: Counter[str] = Counter()
        # Contents that were answered with some query since they were seen.
        self._answered: set[str] = set()
        self._stopped_at: deque[float] = deque(maxlen=MAX_STOPS)
        self.is_saturated = False

    @property
    def is_empty(self) -> bool:
        """Return whether there is no evidence about any request."""
        return not self._contents

    def has_path(self, path: str) -> bool:
        """Return whether there is evidence about a request with a path."""
        return path in self._paths

    def has_content(self, content: str) -> bool:
        """Return whether there is evidence about a content."""
        return content in self._contents

    def record_end(self, end: UpstreamEnd, now: float) -> bool:
        """Record what an upstream ran when it ended, and for how long.

        Each instance reports what it had sent there, so the runs of one end
        arrive in several reports. A copy of a report counts for nothing, even
        if its runs were cleared. Returns whether the report is new.
        """
        self._forget_old(now)
        known = self._find_end(end, now)
        if end.report in known.reports:
            return False
        if end.report:
            known.reports.add(end.report)
        for run in end.runs:
            if known.cause in {'', run.identity.content}:
                self._add_run(known, run)
        return True

    def record_answer(self, identity: RequestIdentity) -> None:
        """Clear a request that was answered: it ends no upstreams."""
        if not self.has_content(identity.content):
            return
        self._answered.add(identity.content)
        for end in self._ends:
            self._drop_run(end, identity)

    def record_stop(self, now: float) -> None:
        """Record that a request was stopped, by whichever hub."""
        self._stopped_at.append(now)

    def forget(self, content: str) -> None:
        """Forget all evidence about a content."""
        self._answered.discard(content)
        for end in self._ends:
            for run in list(end.runs):
                if run.content == content:
                    self._drop_run(end, run)

    def is_suspect(self, identity: RequestIdentity) -> bool:
        """Return whether a request is likely to be a cause, but not certain."""
        ends = [
            end
            for end in self._ends
            if end.runs.get(identity, math.inf) <= SHORT_RUN_SECONDS
        ]
        enough = len(ends) >= SUSPECT_ENDS
        return enough and not self._has_companion(identity, ends)

    def find_culprits(self, is_stopped: IsStopped, now: float) -> list[Culprit]:
        """Return the requests to stop now, and clear what ran beside them.

        Sets `is_saturated` if there are more than may be stopped in a while.
        """
        counts = Counter(run for end in self._ends for run in end.runs)
        exact = [run for run, count in counts.items() if count >= MIN_ENDS]
        culprits: list[Culprit] = []
        self.is_saturated = False
        for identity in [*exact, *self._list_varied(counts)]:
            ends = [] if is_stopped(identity) else self._judge(identity)
            if not ends:
                continue
            if len(culprits) >= self._count_allowed(now):
                self.is_saturated = True
                break
            self._clear_beside(identity, ends)
            upstreams = tuple(end.upstream for end in ends)
            culprits.append(Culprit(identity=identity, upstreams=upstreams))
        return culprits

    def _list_varied(
        self, counts: Counter[RequestIdentity]
    ) -> list[RequestIdentity]:
        """Return the contents that ended upstreams with several queries."""
        queries = Counter(run.content for run in counts)
        return list(
            dict.fromkeys(
                msgspec.structs.replace(run, query=ANY_QUERY)
                for run in counts
                if queries[run.content] > 1
                and run.content not in self._answered
            )
        )

    def _judge(self, identity: RequestIdentity) -> list[_End]:
        """Return the ends that a request caused, if there are enough."""
        found = [(end, end.find_seconds(identity)) for end in self._ends]
        ends = [end for end, seconds in found if seconds is not None]
        short = sum(
            seconds is not None and seconds <= SHORT_RUN_SECONDS
            for _, seconds in found
        )
        if len(ends) >= MAX_ENDS:
            return ends
        if short < MIN_ENDS or self._has_companion(identity, ends):
            return []
        return ends

    def _has_companion(
        self, identity: RequestIdentity, ends: list[_End]
    ) -> bool:
        """Return whether another request ran at all of these ends too."""
        contents = (
            {run.content for run in end.runs} - {identity.content}
            for end in ends
        )
        return bool(set.intersection(*contents))

    def _count_allowed(self, now: float) -> int:
        """Return how many more requests may be stopped now."""
        since = now - STOPS_PERIOD_SECONDS
        return MAX_STOPS - sum(at > since for at in self._stopped_at)

    def _clear_beside(
        self, identity: RequestIdentity, ends: list[_End]
    ) -> None:
        """Clear the requests that ran beside the cause of these ends."""
        for end in ends:
            end.cause = identity.content
            for run in list(end.runs):
                if run.content != identity.content:
                    self._drop_run(end, run)

    def _find_end(self, end: UpstreamEnd, now: float) -> _End:
        for known in self._ends:
            if known.is_same(end, now):
                return known
        new = _End(end, now)
        self._ends.append(new)
        if len(self._ends) > REMEMBERED_ENDS:
            self._drop_oldest()
        return new

    def _forget_old(self, now: float) -> None:
        while self._ends and now - self._ends[0].at > EVIDENCE_SECONDS:
            self._drop_oldest()
        self._answered &= self._contents.keys()

    def _drop_oldest(self) -> None:
        end = self._ends.popleft()
        for run in list(end.runs):
            self._drop_run(end, run)

    def _add_run(self, end: _End, run: SuspectRun) -> None:
        if run.identity not in end.runs:
            self._paths[run.identity.path] += 1
            self._contents[run.identity.content] += 1
        known = end.runs.get(run.identity, 0)
        end.runs[run.identity] = max(known, run.seconds)

    def _drop_run(self, end: _End, identity: RequestIdentity) -> None:
        if end.runs.pop(identity, None) is not None:
            _decrement(self._paths, identity.path)
            _decrement(self._contents, identity.content)


def _decrement(counts: Counter[str], key: str) -> None:
    counts[key] -= 1
    if not counts[key]:
        counts.pop(key)
