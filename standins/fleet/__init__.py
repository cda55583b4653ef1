"""Runs fleets of real instances and stand-ins on the loopback address."""

from standins.fleet._fleet import CREDENTIAL, Fleet
from standins.fleet._plan import (
    CallerPlan,
    DeploymentPlan,
    EnginePlan,
    FleetPlan,
    TeamPlan,
    load_plan,
)
from standins.fleet._process import Process
from standins.fleet._teams import make_token

__all__ = (
    'CREDENTIAL',
    'CallerPlan',
    'DeploymentPlan',
    'EnginePlan',
    'Fleet',
    'FleetPlan',
    'Process',
    'TeamPlan',
    'load_plan',
    'make_token',
)
