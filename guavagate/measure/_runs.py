"""Run patterns for several seeds and policies in parallel processes."""

import itertools
from collections.abc import Iterable
from concurrent.futures import ProcessPoolExecutor
from typing import Final

import msgspec

from guavagate.measure._patterns import Pattern, get_pattern
from guavagate.measure._policies import get_policy
from guavagate.measure._scenario import Figures

# Half the cores of a small machine, because other work runs on it too.
MAX_WORKERS: Final = 6


class Job(msgspec.Struct, frozen=True, kw_only=True):
    """One simulation run."""

    pattern: str
    policy: str
    seed: int


class Result(msgspec.Struct, frozen=True, kw_only=True):
    """The figures of one policy for each seed, in the order of the seeds."""

    policy: str
    runs: tuple[Figures, ...]

    def values(self, figure: str) -> list[float]:
        """Return the values of a figure for all seeds."""
        return [run[figure] for run in self.runs]


def run_job(job: Job) -> Figures:
    """Run one pattern with one policy and seed."""
    policy = get_policy(job.policy)
    return get_pattern(job.pattern).measure(policy, job.seed)


def run_pattern(
    pattern: Pattern, policies: Iterable[str], seeds: Iterable[int]
) -> list[Result]:
    """Run one pattern with each policy and seed."""
    return run_all({pattern.name: tuple(policies)}, tuple(seeds))[pattern.name]


def run_all(
    policies_by_pattern: dict[str, tuple[str, ...]], seeds: tuple[int, ...]
) -> dict[str, list[Result]]:
    """Run several patterns, each with its own policies and all seeds."""
    for policies in policies_by_pattern.values():
        for policy in policies:
            get_policy(policy)
    jobs = [
        Job(pattern=pattern, policy=policy, seed=seed)
        for pattern, policies in policies_by_pattern.items()
        for policy, seed in itertools.product(policies, seeds)
    ]
    figures = iter(_run_jobs(jobs))
    return {
        pattern: [
            Result(policy=policy, runs=tuple(next(figures) for _ in seeds))
            for policy in policies
        ]
        for pattern, policies in policies_by_pattern.items()
    }


def _run_jobs(jobs: list[Job]) -> list[Figures]:
    if len(jobs) == 1:
        return [run_job(jobs[0])]
    with ProcessPoolExecutor(min(MAX_WORKERS, len(jobs))) as workers:
        return list(workers.map(run_job, jobs))
