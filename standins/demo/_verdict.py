"""Checks the history that the stand-ins of a demo recorded."""

from collections import Counter, defaultdict
from collections.abc import Iterator
from typing import TypeVar

import msgspec

from guavagate.measure import history as hist
from standins.text import count_versions, find_fault, tag_prompt

_Kind = TypeVar('_Kind')


class Summary(msgspec.Struct, kw_only=True):
    """Counts and violations found in a history.

    Parameters
    ----------
    requests
        Distinct requests; several attempts count as one.
    refused
        Requests whose last refusal says that they did not run.
    unknown
        Requests whose last refusal leaves the outcome open.
    lost
        Requests without a response or a refusal, and samples of submitted
        steps that were not delivered.
    problems
        One line for each violation.
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
        """Return the last line that the demo prints."""
        return (
            f'demo: requests={self.requests}'
            f' answered_once={self.answered_once}'
            f' samples={self.samples}'
            f' delivered_once={self.delivered_once}'
            f' stale={self.stale} lost={self.lost} doubled={self.doubled}'
        )

    def has_passed(self) -> bool:
        """Return whether there was load and no violation."""
        worked = self.answered_once and self.delivered_once
        broken = self.stale or self.lost or self.doubled or self.problems
        return bool(worked) and not broken


def summarize(events: list[hist.Event]) -> Summary:
    """Return the counts and violations of a history."""
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
    """Count requests by their outcome."""
    requests: dict[str, str] = {}
    last: dict[str, hist.Event] = {}
    answers: Counter[str] = Counter()
    for event in events:
        if isinstance(event, hist.SentRequest):
            summary.attempts += 1
            request = event.request.partition('.')[0]
            requests[event.attempt] = request
            last[request] = event
        elif isinstance(
            event, hist.Received | hist.ReceivedRefusal | hist.BrokeOff
        ):
            request = requests[event.attempt]
            last[request] = event
            answers[request] += isinstance(event, hist.Received)
    summary.requests = len(last)
    summary.answered_once = sum(count == 1 for count in answers.values())
    summary.doubled += sum(count > 1 for count in answers.values())
    for request, event in last.items():
        if not answers[request]:
            _count_unanswered(event, summary)
    summary.doubled += _count_repeated_runs(events)


def _count_unanswered(event: hist.Event, summary: Summary) -> None:
    """Count a request without a response by its last event."""
    if isinstance(event, hist.ReceivedRefusal):
        if event.not_run == 'true':
            summary.refused += 1
        else:
            summary.unknown += 1
    else:
        summary.lost += 1


def _count_repeated_runs(events: list[hist.Event]) -> int:
    """Return how many non-idempotent requests ran more than once."""
    once = {
        event.request
        for event in _select_kind(events, hist.SentRequest)
        if not event.idempotent
    }
    runs = Counter(
        event.request for event in _select_kind(events, hist.RanAtUpstream)
    )
    return sum(runs[request] > 1 for request in once)


def _count_samples(events: list[hist.Event], summary: Summary) -> None:
    """Count the delivered samples of each step."""
    submitted = {
        (event.run, event.step): event.groups * event.samples_per_group
        for event in _select_kind(events, hist.SubmittedStep)
    }
    acked = {
        (event.run, event.step, event.cursor)
        for event in _select_kind(events, hist.Acked)
    }
    delivered: dict[tuple[str, str], Counter[str]] = defaultdict(Counter)
    seen: set[tuple[str, str, str]] = set()
    for batch in _select_kind(events, hist.PulledBatch):
        batch_key = (batch.run, batch.step, batch.follows)
        if batch_key in acked and batch_key not in seen:
            seen.add(batch_key)
            names = [sample.sample for sample in batch.samples]
            delivered[batch_key[:2]].update(names)
    done = {(one.run, one.step) for one in _select_kind(events, hist.StepDone)}
    summary.steps = len(done)
    for counts in delivered.values():
        summary.samples += len(counts)
        once = sum(count == 1 for count in counts.values())
        summary.delivered_once += once
        summary.doubled += len(counts) - once
    # The trainer waits for its last step as well, so samples that are missing
    # from any step are lost.
    for step, count in submitted.items():
        summary.lost += max(count - len(delivered[step]), 0)
    summary.versions = len(list(_select_kind(events, hist.PublishedVersion)))


def _find_text_faults(events: list[hist.Event]) -> Iterator[str]:
    """Find responses and samples whose text is wrong.

    Engines write prompt, index and version into each token, so the text shows
    gaps, repeats, responses to other requests and wrong versions.
    """
    kinds = {
        one.attempt: one.body for one in _select_kind(events, hist.SentRequest)
    }
    for event in _select_kind(events, hist.Received):
        if kinds[event.attempt] in {'chat', 'completion'}:
            prompt = tag_prompt('', event.request)
            yield from _check_text(
                event.request, prompt, event.answer, event.versions
            )
    for batch in _select_kind(events, hist.PulledBatch):
        for sample in batch.samples:
            yield from _check_text(
                sample.sample, '', sample.text, sample.versions
            )


def _check_text(
    subject: str, prompt: str, text: str, versions: tuple[int, ...]
) -> Iterator[str]:
    """Check a text; without a prompt, all tokens must have the same one."""
    fault = find_fault(prompt, text)
    if fault:
        yield f'{hist.Promise.OWN_WHOLE_ANSWER.value}: {subject}: {fault}'
        return
    expected = tuple(version for version, _ in count_versions(text))
    if versions != expected:
        yield (
            f'{hist.Promise.TRUE_VERSIONS.value}: {subject}: it reports'
            f' versions {versions} and was generated by {expected}'
        )


def _select_kind(
    events: list[hist.Event], kind: type[_Kind]
) -> Iterator[_Kind]:
    """Yield the events of one kind."""
    for event in events:
        if isinstance(event, kind):
            yield event
