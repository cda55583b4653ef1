"""The HTTP edge: server, bodies and error bodies, shared by all routes."""

from guavagate.web._active import ActiveRequests
from guavagate.web._bodies import decode_body, read_body
from guavagate.web._errors import install_errors, refusal_body
from guavagate.web._server import make_server

__all__ = (
    'ActiveRequests',
    'decode_body',
    'install_errors',
    'make_server',
    'read_body',
    'refusal_body',
)
