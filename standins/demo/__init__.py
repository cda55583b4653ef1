"""Runs real processes under load and checks the recorded history."""

from standins.demo._verdict import Summary, summarize

__all__ = ('Summary', 'summarize')
