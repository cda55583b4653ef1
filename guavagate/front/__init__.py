"""Handlers of callers' and trainers' calls, independent of the wire format."""

from guavagate.front._authenticator import KeyAuthenticator
from guavagate.front._bodies import BodyReader
from guavagate.front._jobs import JobHandler
from guavagate.front._requests import RequestHandler

__all__ = ('BodyReader', 'JobHandler', 'KeyAuthenticator', 'RequestHandler')
