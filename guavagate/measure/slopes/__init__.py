"""Measures the marginal cost of samples, permits and requests per role."""

from guavagate.measure.slopes._command import main
from guavagate.measure.slopes._fit import Slope, fit_slope

__all__ = ('Slope', 'fit_slope', 'main')
