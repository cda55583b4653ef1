"""Authentication of links by the cluster credential.

It uses CURVE with one key pair that is derived from the credential. The public
key is never published and CurveZMQ does not send it, so a handshake succeeds
only between processes with the credential. Frames are encrypted and
authenticated.
"""

import hashlib

import zmq
from zmq.utils import z85


def secure_server(socket: zmq.Socket, credential: bytes) -> None:
    """Require the credential of clients; if empty, accept all clients."""
    if not credential:
        return
    public, secret = _make_keys(credential)
    socket.curve_secretkey = secret
    socket.curve_publickey = public
    socket.curve_server = True


def secure_client(socket: zmq.Socket, credential: bytes) -> None:
    """Require the credential of the server; if empty, accept any server."""
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
