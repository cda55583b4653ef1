"""Connects the start limits of an instance with its other parts."""

from guavagate.clock import Clock
from guavagate.links import Bus
from guavagate.metrics import Metrics
from guavagate.routing import RouteTable, UpstreamTable
from guavagate.runtime import Members
from guavagate.warmup._grants import StartGrants
from guavagate.warmup._holder import StartBudgets, Turns
from guavagate.warmup._limits import WarmupBound


def limit_starts(
    clock: Clock,
    bus: Bus,
    members: Members,
    turns: Turns,
    routes: RouteTable,
    upstreams: UpstreamTable,
    metrics: Metrics,
    bound: WarmupBound,
) -> StartBudgets:
    """Limit the starts at upstreams; return the budgets for the job owners."""
    budgets = StartBudgets(clock, bus, turns, routes, upstreams, metrics, bound)
    members.subscribe(budgets.refresh)
    upstreams.gate = StartGrants(
        clock, bus, turns, routes, upstreams, metrics, budgets
    )
    return budgets
