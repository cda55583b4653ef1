"""What callers are told, whatever the calls look like on the wire."""

from guavagate.front._authenticator import KeyAuthenticator
from guavagate.front._jobs import JobHandler
from guavagate.front._requests import RequestHandler

__all__ = ('JobHandler', 'KeyAuthenticator', 'RequestHandler')
