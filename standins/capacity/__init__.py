"""Measures what control costs a node at rest, and how that grows."""

from standins.capacity._command import main
from standins.capacity._loss import main as measure_loss

__all__ = ('main', 'measure_loss')
