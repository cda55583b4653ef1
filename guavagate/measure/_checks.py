"""Checks that find violations of each promise in a history."""

import bisect
from collections import Counter, defaultdict
from collections.abc import Callable, Iterable, Iterator
from typing import Final, TypeAlias, TypeVar

from guavagate.measure import _events as hist

_Kind = TypeVar('_Kind', bound=hist.Event)
_History: TypeAlias = list[hist.Event]


def check_runs(events: _History) -> Iterator[hist.Violation]:
    """Find non-idempotent requests that ran more than once."""
    once = {
        event.request
        for event in _select(events, hist.SentRequest)
        if not event.idempotent
    }
    runs = Counter(ran.request for ran in _select(events, hist.RanAtUpstream))
    for request, count in runs.items():
        if request in once and count > 1:
            yield hist.Violation(
                hist.Promise.RUN_AT_MOST_ONCE,
                request,
                f'it ran {count} times',
                _select_trace(events, request),
            )


def check_answers(events: _History) -> Iterator[hist.Violation]:
    """Find answers that no upstream gave in full to the same request."""
    upstream_answers: dict[str, set[str]] = defaultdict(set)
    for answer in _select(events, hist.AnsweredByUpstream):
        upstream_answers[answer.request].add(answer.answer)
    answer_counts: Counter[str] = Counter()
    for received in _select(events, hist.Received):
        answer_counts[received.attempt] += 1
        if received.answer not in upstream_answers[received.request]:
            yield hist.Violation(
                hist.Promise.OWN_WHOLE_ANSWER,
                received.request,
                f'no upstream gave this answer: {received.answer!r}',
                _select_trace(events, received.request),
            )
    for attempt, count in answer_counts.items():
        if count > 1:
            yield hist.Violation(
                hist.Promise.OWN_WHOLE_ANSWER,
                attempt,
                f'one attempt was answered {count} times',
                _select_trace(events, attempt),
            )


def check_refusals(events: _History) -> Iterator[hist.Violation]:
    """Find refusals that report "not run" for a request that ran.

    A run before the refusal violates the promise, whichever attempt caused
    it. A later run violates it unless another attempt was in flight or
    started before that run.
    """
    runs: dict[str, list[float]] = defaultdict(list)
    for ran in _select(events, hist.RanAtUpstream):
        runs[ran.request].append(ran.at)
    others = _find_attempt_times(events)
    for refusal in _select(events, hist.ReceivedRefusal):
        if refusal.not_run != 'true':
            continue
        explained = [
            start
            for attempt, start, end in others[refusal.request]
            if attempt != refusal.attempt and end >= refusal.at
        ]
        if any(
            ran < refusal.at or not any(start <= ran for start in explained)
            for ran in runs[refusal.request]
        ):
            yield hist.Violation(
                hist.Promise.NOT_RUN_IS_TRUE,
                refusal.request,
                'a refusal said that it did not run, but it ran',
                _select_trace(events, refusal.request),
            )


def check_deliveries(events: _History) -> Iterator[hist.Violation]:
    """Find samples delivered twice and complete steps with missing ones.

    A batch counts as delivered when its cursor is acknowledged. All batches
    that end at the same cursor must contain the same samples.
    """
    batches: dict[tuple[str, str, str], hist.PulledBatch] = {}
    for batch in _select(events, hist.PulledBatch):
        batch_key = (batch.run, batch.step, batch.follows)
        first = batches.setdefault(batch_key, batch)
        if _list_samples(first) != _list_samples(batch):
            yield hist.Violation(
                hist.Promise.DELIVERED_ONCE,
                batch.step,
                f'cursor {batch.follows} names two different batches',
                (first, batch),
            )
    yield from _check_steps(events, batches)


def check_versions(events: _History) -> Iterator[hist.Violation]:
    """Find samples that report other versions than their pieces have."""
    pieces_by_sample: dict[str, dict[str, list[hist.GeneratedPiece]]] = (
        defaultdict(dict)
    )
    for piece in _select(events, hist.GeneratedPiece):
        pieces_by_sample[piece.sample].setdefault(piece.exchange, []).append(
            piece
        )
    for batch in _select(events, hist.PulledBatch):
        for sample in batch.samples:
            if not _can_explain(sample, pieces_by_sample[sample.sample]):
                yield hist.Violation(
                    hist.Promise.TRUE_VERSIONS,
                    sample.sample,
                    f'the sample reports versions {sample.versions}',
                    (batch,),
                )


def check_staleness(events: _History) -> Iterator[hist.Violation]:
    """Find samples that exceeded the staleness bound on delivery.

    A version counts as published if its publication was confirmed before
    the pull was sent, not if it was confirmed during the pull.
    """
    bounds: dict[str, int] = {}
    for event in events:
        if isinstance(event, hist.PublishedVersion):
            bounds[event.run] = event.max_staleness
        if not isinstance(event, hist.PulledBatch):
            continue
        bound = bounds.get(event.run)
        for sample in event.samples:
            oldest = min(sample.versions, default=event.newest)
            if bound is not None and event.newest - oldest > bound:
                yield hist.Violation(
                    hist.Promise.FRESH,
                    sample.sample,
                    f'version {oldest} delivered at version {event.newest}',
                    (event,),
                )


def check_commands(events: _History) -> Iterator[hist.Violation]:
    """Find counters with lost, duplicated or forked additions.

    Each answered addition has a unique total. An addition that was sent
    after another was answered has a higher total. No total exceeds the number
    of additions sent by then that may have been applied.
    """
    sent = {one.command: one.at for one in _select(events, hist.SentCommand)}
    possible = _find_possible_times(events)
    groups: dict[str, list[hist.CommandApplied]] = defaultdict(list)
    for answer in _select(events, hist.CommandApplied):
        groups[answer.key].append(answer)
    for key, answers in groups.items():
        for answer in answers:
            rivals = [
                other
                for other in answers
                if _contradicts(answer, other, sent[other.command])
            ]
            limit = bisect.bisect_right(possible[key], answer.at)
            if rivals or answer.total > limit:
                yield hist.Violation(
                    hist.Promise.APPLIED_ONCE,
                    answer.command,
                    f'total {answer.total} of at most {limit}',
                    (answer, *rivals),
                )


def _contradicts(
    answer: hist.CommandApplied, other: hist.CommandApplied, sent: float
) -> bool:
    """Return whether two answers contradict each other."""
    if other is answer:
        return False
    if other.total == answer.total:
        return True
    return sent > answer.at and other.total < answer.total


def _find_possible_times(events: _History) -> dict[str, list[float]]:
    """Return when the additions that may be applied were sent, by counter."""
    refused = {one.command for one in _select(events, hist.CommandRefused)}
    times: dict[str, list[float]] = defaultdict(list)
    for sent in _select(events, hist.SentCommand):
        if sent.command not in refused:
            times[sent.key].append(sent.at)
    return times


def _check_steps(
    events: _History,
    batches: dict[tuple[str, str, str], hist.PulledBatch],
) -> Iterator[hist.Violation]:
    """Find duplicate and missing samples in the accepted batches."""
    delivered: dict[tuple[str, str], Counter[str]] = defaultdict(Counter)
    acked = {
        (one.run, one.step, one.cursor) for one in _select(events, hist.Acked)
    }
    for batch_key in acked & batches.keys():
        delivered[batch_key[:2]].update(_list_samples(batches[batch_key]))
    for (_, step), samples in delivered.items():
        duplicates = [name for name, count in samples.items() if count > 1]
        if duplicates:
            yield hist.Violation(
                hist.Promise.DELIVERED_ONCE,
                step,
                f'delivered more than once: {duplicates[:3]}',
            )
    wanted = {
        (one.run, one.step): one.groups * one.samples_per_group
        for one in _select(events, hist.SubmittedStep)
    }
    for done in _select(events, hist.StepDone):
        step_key = (done.run, done.step)
        got = len(delivered[step_key])
        if got != wanted.get(step_key):
            yield hist.Violation(
                hist.Promise.DELIVERED_ONCE,
                done.step,
                f'{got} of {wanted.get(step_key)} samples delivered',
                (done,),
            )


def _find_attempt_times(
    events: _History,
) -> dict[str, list[tuple[str, float, float]]]:
    """Return each request's attempts with their start and end.

    An attempt that ended without an answer has no end, because the request
    may still run.
    """
    ends = {
        event.attempt: event.at
        for event in events
        if isinstance(event, hist.Received | hist.ReceivedRefusal)
    }
    found: dict[str, list[tuple[str, float, float]]] = defaultdict(list)
    for sent in _select(events, hist.SentRequest):
        end = ends.get(sent.attempt, float('inf'))
        found[sent.request].append((sent.attempt, sent.at, end))
    return found


def _can_explain(
    sample: hist.PulledSample,
    pieces_by_exchange: dict[str, list[hist.GeneratedPiece]],
) -> bool:
    """Return whether pieces explain a sample's text and versions.

    A sample that lists its exchanges consists of these. Any other sample
    comes from a single exchange, or from pieces in an unrecorded order.
    """
    named = set(sample.versions)
    if not pieces_by_exchange and not sample.exchanges:
        # Engines that don't know sample ids record none. `standins` checks
        # their histories by the texts instead.
        return True
    if len(sample.exchanges) > 1:
        parts = [
            pieces_by_exchange.get(exchange, [])
            for exchange in sample.exchanges
        ]
        return named <= _list_versions(parts)
    exchanges = sample.exchanges or tuple(pieces_by_exchange)
    complete = [
        pieces_by_exchange[exchange]
        for exchange in exchanges
        if exchange in pieces_by_exchange
        and _join(pieces_by_exchange[exchange]) == sample.text
    ]
    if complete:
        return any(_list_versions([pieces]) == named for pieces in complete)
    return not sample.exchanges and named <= _list_versions(
        pieces_by_exchange.values()
    )


def _join(pieces: list[hist.GeneratedPiece]) -> str:
    """Return the concatenated text of pieces."""
    return ''.join(piece.text for piece in pieces)


def _list_versions(
    exchanges: Iterable[list[hist.GeneratedPiece]],
) -> set[int]:
    """Return the versions that generated the pieces of exchanges."""
    return {piece.version for pieces in exchanges for piece in pieces}


def _list_samples(batch: hist.PulledBatch) -> list[str]:
    """Return the names of a batch's samples."""
    return [sample.sample for sample in batch.samples]


def _select(events: _History, kind: type[_Kind]) -> list[_Kind]:
    """Return the events of one kind."""
    return [event for event in events if isinstance(event, kind)]


def _select_trace(events: _History, subject: str) -> tuple[hist.Event, ...]:
    """Return the events of one request or attempt, and all faults."""
    return tuple(
        event
        for event in events
        if isinstance(event, hist.FaultInjected)
        or subject
        in {getattr(event, 'request', ''), getattr(event, 'attempt', '')}
    )


CHECKS: Final[tuple[Callable[[_History], Iterator[hist.Violation]], ...]] = (
    check_runs,
    check_answers,
    check_refusals,
    check_deliveries,
    check_versions,
    check_staleness,
    check_commands,
)
