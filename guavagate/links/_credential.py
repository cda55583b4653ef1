"""Who may speak on the links: everyone that holds the cluster credential.

CURVE with one key pair made from the credential. Its public half is never
published and CurveZMQ does not send it, so a handshake succeeds only between
processes that hold the credential; frames are encrypted and authenticated.
"""

import hashlib

import zmq
from zmq.utils import z85


def secure_server(socket: zmq.Socket, credential: bytes) -> None:
    """Let only holders of the credential connect; empty: everyone."""
    if not credential:
        return
    public, secret = _make_keys(credential)
    socket.curve_secretkey = secret
    socket.curve_publickey = public
    socket.curve_server = True


def secure_client(socket: zmq.Socket, credential: bytes) -> None:
    """Connect only to a holder of the credential; empty: to everyone."""
    if not credential:
        return
    public, secret = _make_keys(credential)
    socket.curve_secretkey = secret
    socket.curve_publickey = public
    socket.curve_serverkey = public


def _make_keys(credential: bytes) -> tuple[bytes, bytes]:
    digest = hashlib.blake2b(
        credential, digest_size=32, person=b'guavagate-links'
    ).digest()
    secret = z85.encode(digest)
    return zmq.curve_public(secret), secret
