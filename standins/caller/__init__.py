"""Stand-in for a caller: sends a mix of requests and records answers."""

from standins.caller._caller import Caller, CallerOptions, run

__all__ = ('Caller', 'CallerOptions', 'run')
