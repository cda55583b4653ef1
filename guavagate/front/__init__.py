"""What callers are told, whatever the calls look like on the wire."""

from guavagate.front._gate import Gate
from guavagate.front._jobs import JobCalls
from guavagate.front._requests import RequestCalls

__all__ = ('Gate', 'JobCalls', 'RequestCalls')
