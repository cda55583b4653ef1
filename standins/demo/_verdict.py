"""Judges a demo from the history that the stand-ins recorded."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import TypeVar

import msgspec

from guavagate.measure import history as hist
from standins.text import count_versions, find_fault, tag_prompt

_Kind = TypeVar('_Kind')


class Summary(msgspec.Struct, kw_only=True):
    """What a history shows.

    Parameters
    ----------
    requests
        Distinct requests, over all their attempts.
    refused
        Ended with a refusal that says that it did not run, or is final.
    unknown
        Ended with a refusal that leaves the outcome open.
    lost
        Requests without an answer or a refusal, and samples of submitted
        steps that never came.
    problems
        Each broken promise in a line.
    """

    requests: int = 0
    answered_once: int = 0
    refused: int = 0
    unknown: int = 0
    attempts: int = 0
    steps: int = 0
    samples: int = 0
    delivered_once: int = 0
    versions: int = 0
    stale: int = 0
    lost: int = 0
    doubled: int = 0
    problems: list[str] = msgspec.field(default_factory=list)

    @property
    def last_line(self) -> str:
        """Return the demo's last line."""
        return (
            f'demo: requests={self.requests}'
            f' answered_once={self.answered_once}'
            f' samples={self.samples}'
            f' delivered_once={self.delivered_once}'
            f' stale={self.stale} lost={self.lost} doubled={self.doubled}'
        )

    def has_passed(self) -> bool:
        """Tell whether every promise was kept and something was done."""
        worked = self.answered_once and self.delivered_once
        broken = self.stale or self.lost or self.doubled or self.problems
        return bool(worked) and not broken


def summarize(events: list[hist.Event]) -> Summary:
    """Return what a history shows, with every promise that it breaks."""
    summary = Summary()
    _count_requests(events, summary)
    _count_samples(events, summary)
    violations = hist.check(events)
    stale = [one for one in violations if one.promise is hist.Promise.FRESH]
    summary.stale = len(stale)
    for violation in violations:
        summary.problems.append(
            f'{violation.promise.value}: {violation.subject}:'
            f' {violation.problem}'
        )
    summary.problems.extend(_find_text_faults(events))
    return summary


def _count_requests(events: list[hist.Event], summary: Summary) -> None:
    """Count what became of each request."""
    bases: dict[str, str] = {}
    last: dict[str, hist.Event] = {}
    answers: Counter[str] = Counter()
    for event in events:
        if isinstance(event, hist.SentRequest):
            summary.attempts += 1
            base = event.request.partition('.')[0]
            bases[event.attempt] = base
            last[base] = event
        elif isinstance(
            event, hist.Received | hist.ReceivedRefusal | hist.BrokeOff
        ):
            base = bases[event.attempt]
            last[base] = event
            answers[base] += isinstance(event, hist.Received)
    summary.requests = len(last)
    summary.answered_once = sum(count == 1 for count in answers.values())
    summary.doubled += sum(count > 1 for count in answers.values())
    for base, event in last.items():
        if not answers[base]:
            _count_unanswered(event, summary)
    summary.doubled += _count_runs_too_many(events)


def _count_unanswered(event: hist.Event, summary: Summary) -> None:
    """Count a request by its last event."""
    if isinstance(event, hist.ReceivedRefusal):
        if event.not_run == 'true':
            summary.refused += 1
        else:
            summary.unknown += 1
    else:
        summary.lost += 1


def _count_runs_too_many(events: list[hist.Event]) -> int:
    """Return how many requests ran twice that may run once."""
    once = {
        event.request
        for event in _pick(events, hist.SentRequest)
        if not event.idempotent
    }
    runs = Counter(event.request for event in _pick(events, hist.RanAtUpstream))
    return sum(runs[request] > 1 for request in once)


def _count_samples(events: list[hist.Event], summary: Summary) -> None:
    """Count what was delivered of each step."""
    wanted = {
        (event.run, event.step): event.groups * event.samples_per_group
        for event in _pick(events, hist.SubmittedStep)
    }
    acked = {
        (event.run, event.step, event.cursor)
        for event in _pick(events, hist.Acked)
    }
    taken: dict[tuple[str, str], Counter[str]] = defaultdict(Counter)
    seen: set[tuple[str, str, str]] = set()
    for batch in _pick(events, hist.PulledBatch):
        place = (batch.run, batch.step, batch.follows)
        if place in acked and place not in seen:
            seen.add(place)
            names = [sample.sample for sample in batch.samples]
            taken[place[:2]].update(names)
    done = {(one.run, one.step) for one in _pick(events, hist.StepDone)}
    summary.steps = len(done)
    for counts in taken.values():
        summary.samples += len(counts)
        once = sum(count == 1 for count in counts.values())
        summary.delivered_once += once
        summary.doubled += len(counts) - once
    # The trainer waits for its last step as well, so one that is not whole in
    # the end has lost samples, too.
    for step, count in wanted.items():
        summary.lost += max(count - len(taken[step]), 0)
    summary.versions = len(list(_pick(events, hist.PublishedVersion)))


def _find_text_faults(events: list[hist.Event]) -> Iterator[str]:
    """Find answers and samples whose text tells another story.

    Each token tells its prompt, index and version, as only an engine writes
    them, so a gap, a repeat, a crossed answer and a wrong version show.
    """
    kinds = {one.attempt: one.body for one in _pick(events, hist.SentRequest)}
    for event in _pick(events, hist.Received):
        if kinds[event.attempt] in {'chat', 'completion'}:
            prompt = tag_prompt('', event.request)
            yield from _judge_text(
                event.request, prompt, event.answer, event.versions
            )
    for batch in _pick(events, hist.PulledBatch):
        for sample in batch.samples:
            yield from _judge_text(
                sample.sample, '', sample.text, sample.versions
            )


def _judge_text(
    subject: str, prompt: str, text: str, versions: tuple[int, ...]
) -> Iterator[str]:
    """Judge one text; without a prompt, by its own first token's."""
    fault = find_fault(prompt, text)
    if fault:
        yield f'{hist.Promise.OWN_WHOLE_ANSWER.value}: {subject}: {fault}'
        return
    truth = tuple(version for version, _ in count_versions(text))
    if versions != truth:
        yield (
            f'{hist.Promise.TRUE_VERSIONS.value}: {subject}: it names'
            f' {versions} and was made by {truth}'
        )


def _pick(events: list[hist.Event], kind: type[_Kind]) -> Iterator[_Kind]:
    """Yield the events of one kind."""
    for event in events:
        if isinstance(event, kind):
            yield event
