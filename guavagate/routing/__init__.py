"""Selects the route of a request and an upstream of its service."""

from guavagate.routing._choice import Load, choose_upstream
from guavagate.routing._eligibility import Eligibility, Obstacle
from guavagate.routing._gate import EligibleSamplers
from guavagate.routing._routes import RouteTable, pick_service
from guavagate.routing._start_gate import OpenGate, StartGate
from guavagate.routing._upstreams import UpstreamTable

__all__ = (
    'Eligibility',
    'EligibleSamplers',
    'Load',
    'Obstacle',
    'OpenGate',
    'RouteTable',
    'StartGate',
    'UpstreamTable',
    'choose_upstream',
    'pick_service',
)
