"""The HTTP server, request bodies and error bodies that all routes share."""

from guavagate.web._active import ActiveRequests
from guavagate.web._bodies import decode_body, read_body
from guavagate.web._errors import add_error_handlers, encode_refusal
from guavagate.web._server import make_server

__all__ = (
    'ActiveRequests',
    'add_error_handlers',
    'decode_body',
    'encode_refusal',
    'make_server',
    'read_body',
)
