"""A caller as a stand-in: sends a mix of requests and records the answers."""

from standins.caller._caller import Caller, CallerOptions, run

__all__ = ('Caller', 'CallerOptions', 'run')
