"""The main job with real processes, judged from the recorded history."""

from standins.demo._verdict import Summary, summarize

__all__ = ('Summary', 'summarize')
