"""Slopes: what one more of something costs a role, measured in one process."""

from guavagate.measure.slopes._command import main
from guavagate.measure.slopes._fit import Slope, fit_slope

__all__ = ('Slope', 'fit_slope', 'main')
