"""Figures of each fleet size and the lines fitted to them."""

import dataclasses
from typing import Any, Final

import numpy as np
import psutil

# Budgets of a node's control overhead, and the fleet size they apply to.
NODES: Final = 330
BUDGETS: Final = {
    'cpu_percent': 1.2,
    'memory_mb': 32.0,
    'kilobytes_per_second': 8.0,
}


@dataclasses.dataclass(frozen=True)
class Reading:
    """Totals over all nodes at one time; `at` is in seconds.

    CPU time is read before and after querying the nodes for the other totals,
    because the query costs them CPU time as well.
    """

    at: float
    cpu_before: float
    cpu_after: float
    messages: float
    size: float
    store_calls: float


@dataclasses.dataclass(frozen=True)
class Row:
    """Figures of one fleet size, each the mean per node."""

    nodes: int
    cpu_percent: float
    memory_mb: float
    messages_per_second: float
    kilobytes_per_second: float
    store_calls_per_second: float


def make_row(nodes: int, first: Reading, last: Reading, memory: float) -> Row:
    """Return the figures between two readings; memory is in bytes."""
    seconds = (last.at - first.at) * nodes
    return Row(
        nodes,
        100 * (last.cpu_before - first.cpu_after) / seconds,
        memory / 1e6,
        (last.messages - first.messages) / seconds,
        (last.size - first.size) / 1000 / seconds,
        (last.store_calls - first.store_calls) / seconds,
    )


def fit_rows(rows: list[Row]) -> dict[str, dict[str, float]]:
    """Fit a line over the number of nodes to each figure.

    `error` is the standard error of the slope; `error_at_330` is the error of
    the line at 330 nodes, from the covariance of both coefficients.
    """
    sizes = np.array([row.nodes for row in rows], float)
    lines: dict[str, dict[str, float]] = {}
    for name in dataclasses.asdict(rows[0]):
        if name == 'nodes':
            continue
        values = np.array([getattr(row, name) for row in rows])
        (slope, base), covariance = np.polyfit(sizes, values, 1, cov=True)
        where = np.array([NODES, 1.0])
        lines[name] = {
            'at_rest': float(base),
            'per_node': float(slope),
            'error': float(np.sqrt(covariance[0, 0])),
            f'at_{NODES}': float(slope * NODES + base),
            f'error_at_{NODES}': float(np.sqrt(where @ covariance @ where)),
        }
    return lines


def measure_cpu(pids: list[int]) -> float:
    """Return the CPU seconds that processes have used."""
    times = [psutil.Process(pid).cpu_times() for pid in pids]
    return sum(each.user + each.system for each in times)


def measure_memory(pids: list[int]) -> float:
    """Return the mean unique set size of processes, in bytes."""
    sizes = [psutil.Process(pid).memory_full_info().uss for pid in pids]
    return float(np.mean(sizes))


def describe(rows: list[Row]) -> dict[str, Any]:
    """Return rows, lines and budgets for JSON."""
    return {
        'rows': [dataclasses.asdict(row) for row in rows],
        'lines': fit_rows(rows),
        'budgets': BUDGETS,
    }
