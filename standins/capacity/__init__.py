"""Measures what control costs a node at rest, and how that grows."""

from standins.capacity._command import main

__all__ = ('main',)
