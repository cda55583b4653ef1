"""Tests that the demo's summary detects each violated guarantee."""

from collections.abc import Callable

import pytest

from guavagate.measure import history as hist
from standins.demo import summarize
from standins.text import make_token, tag_prompt


def _make_text(name: str, versions: list[int]) -> str:
    """Return the text that engines with these versions generate."""
    prompt = tag_prompt('', name)
    return ''.join(
        make_token(prompt, index, version)
        for index, version in enumerate(versions)
    )


def _make_sample(name: str, versions: list[int]) -> hist.PulledSample:
    """Return a pulled sample with its text and versions."""
    return hist.PulledSample(
        sample=name,
        versions=tuple(dict.fromkeys(versions)),
        text=_make_text('group', versions),
    )


def _make_request(name: str, kind: str, at: float) -> list[hist.Event]:
    """Return the events of a request that runs and is answered once."""
    text = _make_text(name, [1, 1]) if kind == 'chat' else f'{name} done'
    attempt = f'{name}@1'
    return [
        hist.SentRequest(
            at=at,
            request=name,
            attempt=attempt,
            body=kind,
            idempotent=kind == 'chat',
        ),
        hist.RanAtUpstream(at=at + 0.1, request=name),
        hist.AnsweredByUpstream(at=at + 0.2, request=name, answer=text),
        hist.Received(
            at=at + 0.3,
            request=name,
            attempt=attempt,
            answer=text,
            versions=(1,) if kind == 'chat' else (),
        ),
    ]


def _make_pieces(sample: hist.PulledSample) -> list[hist.Event]:
    """Return the events of the pieces that engines generated."""
    tokens = [f' {token}' for token in sample.text.split()]
    return [
        hist.GeneratedPiece(
            at=4.5,
            exchange=f'r/{sample.sample}#0.0',
            sample=sample.sample,
            version=int(token.rpartition('.')[2]),
            text=token,
        )
        for token in tokens
    ]


def _make_history() -> list[hist.Event]:
    """Return a history that satisfies every guarantee."""
    place = {'run': 'r', 'step': 's'}
    return [
        *_make_request('w-1', 'write', 1),
        *_make_request('c-1.1', 'chat', 2),
        hist.PublishedVersion(at=3, run='r', version=2, max_staleness=1),
        hist.SubmittedStep(at=4, groups=1, samples_per_group=2, **place),
        *_make_pieces(_make_sample('x', [1, 2])),
        *_make_pieces(_make_sample('y', [2])),
        hist.PulledBatch(
            at=5,
            cursor='',
            follows='k1',
            newest=2,
            samples=(_make_sample('x', [1, 2]), _make_sample('y', [2])),
            **place,
        ),
        hist.Acked(at=5, cursor='k1', **place),
        hist.StepDone(at=6, **place),
    ]


def _make_pull(
    samples: tuple[hist.PulledSample, ...], newest: int = 2
) -> list[hist.Event]:
    """Return the events of one more batch that is acknowledged."""
    return [
        hist.PulledBatch(
            at=7,
            run='r',
            step='s',
            cursor='k1',
            follows='k2',
            newest=newest,
            samples=samples,
        ),
        hist.Acked(at=7, run='r', step='s', cursor='k2'),
    ]


def test_a_correct_history_is_accepted() -> None:
    """Two answers and two samples; none is stale, lost or duplicated."""
    summary = summarize(_make_history())
    assert summary.has_passed(), summary.problems
    assert summary.last_line == (
        'demo: requests=2 answered_once=2 samples=2 delivered_once=2'
        ' stale=0 lost=0 doubled=0'
    )


@pytest.mark.parametrize(
    ('extra', 'figure'),
    [
        (lambda: [hist.RanAtUpstream(at=9, request='w-1')], 'doubled'),
        (lambda: _make_pull((_make_sample('x', [1, 2]),)), 'doubled'),
        (lambda: _make_pull((_make_sample('z', [1]),), newest=4), 'stale'),
        (lambda: _make_request('w-2', 'write', 9)[:2], 'lost'),
        (
            lambda: [
                hist.SubmittedStep(
                    at=9, run='r', step='late', groups=1, samples_per_group=2
                )
            ],
            'lost',
        ),
        (
            lambda: [hist.StepDone(at=9, run='r', step='never')],
            'problems',
        ),
        (
            lambda: _make_pull(
                (
                    hist.PulledSample(
                        sample='z', versions=(2,), text=_make_text('g', [1, 2])
                    ),
                )
            ),
            'problems',
        ),
        (
            lambda: [
                *_make_request('c-2.1', 'chat', 9)[:2],
                hist.Received(
                    at=9.9,
                    request='c-2.1',
                    attempt='c-2.1@1',
                    answer=_make_text('c-1.1', [1]),
                    versions=(1,),
                ),
            ],
            'problems',
        ),
    ],
    ids=[
        'ran twice',
        'delivered twice',
        'stale',
        'no answer',
        'step that never came',
        'step without samples',
        'wrong version',
        "another's answer",
    ],
)
def test_each_violation_is_detected(
    extra: Callable[[], list[hist.Event]], figure: str
) -> None:
    """A fault in a correct history makes its counter nonzero."""
    summary = summarize([*_make_history(), *extra()])
    assert getattr(summary, figure)
    assert not summary.has_passed()
