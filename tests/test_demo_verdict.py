"""Tests that the demo's verdict can fail: each broken promise shows."""

from collections.abc import Callable

import pytest

from guavagate.measure import history as hist
from standins.demo import summarize
from standins.text import make_token, tag_prompt


def _say(name: str, versions: list[int]) -> str:
    """Return the text that engines of these versions make."""
    prompt = tag_prompt('', name)
    return ''.join(
        make_token(prompt, index, version)
        for index, version in enumerate(versions)
    )


def _sample(name: str, versions: list[int]) -> hist.PulledSample:
    """Return a sample of a text."""
    return hist.PulledSample(
        sample=name,
        versions=tuple(dict.fromkeys(versions)),
        text=_say('group', versions),
    )


def _ask(name: str, kind: str, at: float) -> list[hist.Event]:
    """Return a request that runs once and is answered once."""
    text = _say(name, [1, 1]) if kind == 'chat' else f'{name} done'
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


def _generate(sample: hist.PulledSample) -> list[hist.Event]:
    """Return the pieces that engines made of a sample, by version."""
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
    """Return a history that keeps every promise."""
    place = {'run': 'r', 'step': 's'}
    return [
        *_ask('w-1', 'write', 1),
        *_ask('c-1.1', 'chat', 2),
        hist.PublishedVersion(at=3, run='r', version=2, max_staleness=1),
        hist.SubmittedStep(at=4, groups=1, samples_per_group=2, **place),
        *_generate(_sample('x', [1, 2])),
        *_generate(_sample('y', [2])),
        hist.PulledBatch(
            at=5,
            cursor='',
            follows='k1',
            newest=2,
            samples=(_sample('x', [1, 2]), _sample('y', [2])),
            **place,
        ),
        hist.Acked(at=5, cursor='k1', **place),
        hist.StepDone(at=6, **place),
    ]


def _pull_again(
    samples: tuple[hist.PulledSample, ...], newest: int = 2
) -> list[hist.Event]:
    """Return one more batch, taken in."""
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


def test_a_history_that_keeps_every_promise_is_accepted() -> None:
    """Two answers, two samples, nothing stale, lost or doubled."""
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
        (lambda: _pull_again((_sample('x', [1, 2]),)), 'doubled'),
        (lambda: _pull_again((_sample('z', [1]),), newest=4), 'stale'),
        (lambda: _ask('w-2', 'write', 9)[:2], 'lost'),
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
            lambda: _pull_again(
                (
                    hist.PulledSample(
                        sample='z', versions=(2,), text=_say('g', [1, 2])
                    ),
                )
            ),
            'problems',
        ),
        (
            lambda: [
                *_ask('c-2.1', 'chat', 9)[:2],
                hist.Received(
                    at=9.9,
                    request='c-2.1',
                    attempt='c-2.1@1',
                    answer=_say('c-1.1', [1]),
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
def test_each_broken_promise_shows(
    extra: Callable[[], list[hist.Event]], figure: str
) -> None:
    """One fault is added to a good history; its figure is no longer zero."""
    summary = summarize([*_make_history(), *extra()])
    assert getattr(summary, figure)
    assert not summary.has_passed()
