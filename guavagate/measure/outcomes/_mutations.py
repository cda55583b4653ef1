"""Mutation tests: removes each safeguard and finds a run that detects it."""

from collections.abc import Callable, Iterator
from typing import Final

import msgspec

from guavagate.ledger import LedgerSafeguards
from guavagate.measure.outcomes._counters import CounterWorkload
from guavagate.measure.outcomes._requests import RequestWorkload
from guavagate.measure.outcomes._run import Run, Workload, run_once
from guavagate.measure.outcomes._scenarios import SCENARIOS
from guavagate.partitions.stored import Safeguards

PARTITION_SAFEGUARDS: Final = Safeguards.__struct_fields__
LEDGER_SAFEGUARDS: Final = LedgerSafeguards.__struct_fields__


class Mutation(msgspec.Struct, frozen=True, kw_only=True):
    """Result of the search without one safeguard.

    Parameters
    ----------
    caught
        Scenario or seed that detected the removal, or empty.
    tried
        Number of runs.
    """

    safeguard: str
    caught: str
    promise: str = ''
    faults: tuple[str, ...] = ()
    tried: int = 0


def find_catching_runs(runs: int, seed: int) -> Iterator[Mutation]:
    """Remove each safeguard in turn and find a run that detects it."""
    for name in (*PARTITION_SAFEGUARDS, *LEDGER_SAFEGUARDS):
        yield find_catching_run(name, runs, seed)


def find_catching_run(name: str, runs: int, seed: int) -> Mutation:
    """Remove one safeguard; try its scenario first, then random runs."""
    run = make_runner_without(name)
    scenario = SCENARIOS.get(name)
    if scenario is not None and scenario(Safeguards(**{name: False})):
        return Mutation(
            safeguard=name,
            caught=f'scenario {scenario.__name__}',
            promise='APPLIED_ONCE',
            tried=1,
        )
    for tried in range(runs):
        result = run(seed + tried)
        if result.violations:
            return Mutation(
                safeguard=name,
                caught=f'seed {result.seed}',
                promise=result.violations[0].promise.name,
                faults=result.faults,
                tried=tried + 1,
            )
    return Mutation(safeguard=name, caught='', tried=runs)


def make_runner_without(name: str) -> Callable[[int], Run]:
    """Return a function that runs a seed without one safeguard."""
    if name in PARTITION_SAFEGUARDS:
        safeguards = Safeguards(**{name: False})
        return lambda seed: run_once(seed, safeguards=safeguards)
    ledger_safeguards = LedgerSafeguards(**{name: False})

    def make() -> list[Workload]:
        return [RequestWorkload(ledger_safeguards), CounterWorkload()]

    return lambda seed: run_once(seed, make_workloads=make)
