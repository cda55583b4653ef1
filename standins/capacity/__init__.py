"""Measures the control overhead of an idle node and its growth."""

from standins.capacity._command import main
from standins.capacity._loss import main as measure_loss

__all__ = ('main', 'measure_loss')
