"""How each promise is judged from a history."""

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
        for event in _pick(events, hist.SentRequest)
        if not event.idempotent
    }
    runs = Counter(ran.request for ran in _pick(events, hist.RanAtUpstream))
    for request, count in runs.items():
        if request in once and count > 1:
            yield hist.Violation(
                hist.Promise.RUN_AT_MOST_ONCE,
                request,
                f'it ran {count} times',
                _about(events, request),
            )


def check_answers(events: _History) -> Iterator[hist.Violation]:
    """Find answers that no upstream gave whole to that very request."""
    given: dict[str, set[str]] = defaultdict(set)
    for answer in _pick(events, hist.AnsweredByUpstream):
        given[answer.request].add(answer.answer)
    answer_counts: Counter[str] = Counter()
    for received in _pick(events, hist.Received):
        answer_counts[received.attempt] += 1
        if received.answer not in given[received.request]:
            yield hist.Violation(
                hist.Promise.OWN_WHOLE_ANSWER,
                received.request,
                f'no upstream gave it the answer {received.answer!r}',
                _about(events, received.request),
            )
    for attempt, count in answer_counts.items():
        if count > 1:
            yield hist.Violation(
                hist.Promise.OWN_WHOLE_ANSWER,
                attempt,
                f'one attempt was answered {count} times',
                _about(events, attempt),
            )


def check_refusals(events: _History) -> Iterator[hist.Violation]:
    """Find refusals that say "not run" of a request that ran.

    A run before the refusal breaks it, whichever attempt made it. A later
    one does unless another attempt was or came under way.
    """
    runs: dict[str, list[float]] = defaultdict(list)
    for ran in _pick(events, hist.RanAtUpstream):
        runs[ran.request].append(ran.at)
    others = _find_open_times(events)
    for refusal in _pick(events, hist.ReceivedRefusal):
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
                _about(events, refusal.request),
            )


def check_deliveries(events: _History) -> Iterator[hist.Violation]:
    """Find samples taken in twice, and whole steps that lack some.

    A batch counts as delivered when its cursor is acknowledged; a repeated
    pull at the same cursor must bring the same samples.
    """
    batches: dict[tuple[str, str, str], hist.PulledBatch] = {}
    for batch in _pick(events, hist.PulledBatch):
        place = (batch.run, batch.step, batch.follows)
        first = batches.setdefault(place, batch)
        if _names(first) != _names(batch):
            yield hist.Violation(
                hist.Promise.DELIVERED_ONCE,
                batch.step,
                f'cursor {batch.follows} names two different batches',
                (first, batch),
            )
    yield from _check_steps(events, batches)


def check_versions(events: _History) -> Iterator[hist.Violation]:
    """Find samples whose versions are not those of their pieces."""
    made: dict[str, dict[str, list[hist.GeneratedPiece]]] = defaultdict(dict)
    for piece in _pick(events, hist.GeneratedPiece):
        made[piece.sample].setdefault(piece.exchange, []).append(piece)
    for batch in _pick(events, hist.PulledBatch):
        for sample in batch.samples:
            if not _can_have_made(sample, made[sample.sample]):
                yield hist.Violation(
                    hist.Promise.TRUE_VERSIONS,
                    sample.sample,
                    f'it names versions {sample.versions}',
                    (batch,),
                )


def check_staleness(events: _History) -> Iterator[hist.Violation]:
    """Find samples older than the bound when they were handed out.

    A version whose publication was confirmed before the pull was sent
    counts; one confirmed while the pull was under way does not.
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
                    f'version {oldest} handed out at {event.newest}',
                    (event,),
                )


def check_commands(events: _History) -> Iterator[hist.Violation]:
    """Find counters that lost, doubled or forked additions.

    Each answered addition has a total of its own; one sent after another's
    answer has a higher one; no total exceeds what was sent by then.
    """
    sent = {one.command: one.at for one in _pick(events, hist.SentCommand)}
    possible = _find_possible_times(events)
    groups: dict[str, list[hist.CommandApplied]] = defaultdict(list)
    for answer in _pick(events, hist.CommandApplied):
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
    """Say whether another answer can't be true beside this one."""
    if other is answer:
        return False
    if other.total == answer.total:
        return True
    return sent > answer.at and other.total < answer.total


def _find_possible_times(events: _History) -> dict[str, list[float]]:
    """Return, by counter, when additions were sent that may be applied."""
    refused = {one.command for one in _pick(events, hist.CommandRefused)}
    times: dict[str, list[float]] = defaultdict(list)
    for sent in _pick(events, hist.SentCommand):
        if sent.command not in refused:
            times[sent.key].append(sent.at)
    return times


def _check_steps(
    events: _History,
    batches: dict[tuple[str, str, str], hist.PulledBatch],
) -> Iterator[hist.Violation]:
    """Judge what each step's trainer took in."""
    taken: dict[tuple[str, str], Counter[str]] = defaultdict(Counter)
    acked = {
        (one.run, one.step, one.cursor) for one in _pick(events, hist.Acked)
    }
    for place in acked & batches.keys():
        taken[place[:2]].update(_names(batches[place]))
    for (_, step), samples in taken.items():
        doubled = [name for name, count in samples.items() if count > 1]
        if doubled:
            yield hist.Violation(
                hist.Promise.DELIVERED_ONCE,
                step,
                f'delivered more than once: {doubled[:3]}',
            )
    wanted = {
        (one.run, one.step): one.groups * one.samples_per_group
        for one in _pick(events, hist.SubmittedStep)
    }
    for done in _pick(events, hist.StepDone):
        place_of_step = (done.run, done.step)
        got = len(taken[place_of_step])
        if got != wanted.get(place_of_step):
            yield hist.Violation(
                hist.Promise.DELIVERED_ONCE,
                done.step,
                f'{got} of {wanted.get(place_of_step)} samples delivered',
                (done,),
            )


def _find_open_times(
    events: _History,
) -> dict[str, list[tuple[str, float, float]]]:
    """Return each request's attempts with their start and end.

    An attempt that broke off has no end: what it set off may still run.
    """
    ends = {
        event.attempt: event.at
        for event in events
        if isinstance(event, hist.Received | hist.ReceivedRefusal)
    }
    found: dict[str, list[tuple[str, float, float]]] = defaultdict(list)
    for sent in _pick(events, hist.SentRequest):
        end = ends.get(sent.attempt, float('inf'))
        found[sent.request].append((sent.attempt, sent.at, end))
    return found


def _can_have_made(
    sample: hist.PulledSample,
    made: dict[str, list[hist.GeneratedPiece]],
) -> bool:
    """Say whether pieces made the text, and their versions are those named.

    A sample that names its exchanges is made of these; one that does not is
    of a single exchange, or of pieces whose order nobody recorded.
    """
    named = set(sample.versions)
    if not made and not sample.exchanges:
        # Engines that don't know sample ids record none; their histories
        # are judged by the texts (see `standins`), not here.
        return True
    if len(sample.exchanges) > 1:
        parts = [made.get(exchange, []) for exchange in sample.exchanges]
        return named <= _list_versions(parts)
    wanted = sample.exchanges or tuple(made)
    whole = [
        made[exchange]
        for exchange in wanted
        if exchange in made and _join(made[exchange]) == sample.text
    ]
    if whole:
        return any(_list_versions([pieces]) == named for pieces in whole)
    return not sample.exchanges and named <= _list_versions(made.values())


def _join(pieces: list[hist.GeneratedPiece]) -> str:
    """Return the text of pieces."""
    return ''.join(piece.text for piece in pieces)


def _list_versions(
    exchanges: Iterable[list[hist.GeneratedPiece]],
) -> set[int]:
    """Return the versions that made some exchanges' pieces."""
    return {piece.version for pieces in exchanges for piece in pieces}


def _names(batch: hist.PulledBatch) -> list[str]:
    """Return the names of a batch's samples."""
    return [sample.sample for sample in batch.samples]


def _pick(events: _History, kind: type[_Kind]) -> list[_Kind]:
    """Return the events of one kind."""
    return [event for event in events if isinstance(event, kind)]


def _about(events: _History, subject: str) -> tuple[hist.Event, ...]:
    """Return the events of one request, with the faults between them."""
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
