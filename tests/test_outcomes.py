"""Random runs, seeds that once failed, and runs without a safeguard."""

from typing import Any

import msgspec
import pytest
from hypothesis import given, settings
from hypothesis import strategies as st

from guavagate.measure import history as hist
from guavagate.measure.outcomes import FAULTS, run_once
from guavagate.measure.outcomes._mutations import make_runner_without
from guavagate.measure.outcomes._scenarios import SCENARIOS
from guavagate.partitions.stored import Safeguards


@settings(max_examples=5, derandomize=True, deadline=None)
@given(
    seed=st.integers(0, 2**16),
    faults=st.lists(
        st.tuples(st.floats(0, 10), st.sampled_from(sorted(FAULTS))),
        max_size=3,
    ),
)
def test_no_promise_is_broken(
    seed: int, faults: list[tuple[float, str]]
) -> None:
    """Callers retry through faults of any kind and at any time.

    What they, the upstream and the counting clients recorded is judged:
    nothing runs twice, no answer is another's, no refusal lies, and nothing
    that a partition answered is lost, doubled or forked.
    """
    run = run_once(seed, faults=tuple(faults))
    assert run.finished
    assert not run.violations


@pytest.mark.parametrize(
    'seed',
    [
        16,  # the record of an aborted attempt, as all instances died
        48,  # instances that took over a partition from each other
        80,  # a step whose primary and all others died
        60,  # a publication counted as confirmed though its instance died
        133,  # a stopped instance that never exits
    ],
)
def test_seeds_that_failed_once(seed: int) -> None:
    """Seeds that broke a promise or did not finish before a fix."""
    run = run_once(seed)
    assert run.finished
    assert not run.violations


@pytest.mark.parametrize('name', sorted(SCENARIOS))
def test_a_scenario_detects_a_removed_safeguard(name: str) -> None:
    """Only without its safeguard is an answered command lost or forked."""
    scenario = SCENARIOS[name]
    assert scenario(Safeguards(**{name: False}))
    assert not scenario(Safeguards())


@pytest.mark.parametrize('name', ['keep_unknown', 'compare_digest', 'join'])
def test_a_run_detects_a_removed_safeguard(name: str) -> None:
    """The checks detect the removal of a rule of the ledger."""
    assert make_runner_without(name)(1).violations


def test_an_event_round_trips_through_json() -> None:
    """An event that was written as JSON decodes to the same event."""
    event = hist.Received(at=1, request='r', attempt='r#0', answer='x')
    raw = msgspec.json.encode(event)
    assert msgspec.json.decode(raw, type=hist.Event) == event
    assert hist.check([event])[0].promise is hist.Promise.OWN_WHOLE_ANSWER


def test_each_check_of_samples_can_fail() -> None:
    """A batch repeats a sample, reports a wrong version and is stale."""
    sample = hist.PulledSample(
        sample='s', versions=(1,), text='ab', exchanges=('x',)
    )
    batch: dict[str, Any] = {
        'run': 'r',
        'step': '1',
        'newest': 9,
        'samples': (sample,),
    }
    history: list[hist.Event] = [
        hist.PublishedVersion(at=0, run='r', version=9),
        hist.GeneratedPiece(
            at=1, exchange='x', sample='s', version=2, text='ab'
        ),
        hist.PulledBatch(at=2, cursor='', follows='c1', **batch),
        hist.PulledBatch(at=3, cursor='c1', follows='c2', **batch),
        hist.Acked(at=4, run='r', step='1', cursor='c1'),
        hist.Acked(at=5, run='r', step='1', cursor='c2'),
    ]
    broken = {violation.promise for violation in hist.check(history)}
    assert broken == {
        hist.Promise.DELIVERED_ONCE,
        hist.Promise.TRUE_VERSIONS,
        hist.Promise.FRESH,
    }
