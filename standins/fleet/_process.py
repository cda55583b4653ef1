"""Starts, signals and stops the processes of a fleet."""

import contextlib
import itertools
import os
import random
import signal
import socket
import sys
from pathlib import Path
from typing import Any, Final

import gevent
from gevent import subprocess

_RUN_DAEMON: Final = 'from guavagate.daemon import main; main()'
_KILL_SECONDS: Final = 5.0
_PORTS: Final = itertools.cycle(
    random.Random(os.getpid()).sample(range(10_000, 32_000), 20_000)
)


class Process:
    """A child process that is signalled by its pid.

    Parameters
    ----------
    role
        ``guavagated`` or the role of a stand-in.
    name
        Unique in the fleet.
    """

    def __init__(self, role: str, name: str, zone: str = '') -> None:
        self.role = role
        self.name = name
        self.zone = zone
        self.addresses: dict[str, str] = {}
        self._child: subprocess.Popen[bytes] | None = None

    def start(self, command: list[str], log: Path) -> None:
        """Start a Python command that logs to a file."""
        log.parent.mkdir(parents=True, exist_ok=True)
        env = {**os.environ, 'PYTHONPATH': os.pathsep.join(sys.path)}
        with log.open('ab') as errors:
            self._child = subprocess.Popen(
                [sys.executable, *command],
                stdout=subprocess.PIPE if self._prints_address() else errors,
                stderr=errors,
                env=env,
                start_new_session=True,
            )

    @property
    def pid(self) -> int:
        """Return the process id, or 0 before the start."""
        return self._child.pid if self._child else 0

    def read_address(self) -> str:
        """Read the address that a stand-in prints as its first line."""
        if self._child is None or self._child.stdout is None:
            return ''
        address = self._child.stdout.readline().decode().strip()
        self.addresses = {'http': address}
        return address

    def is_running(self) -> bool:
        """Return whether the process is running."""
        return self._child is not None and self._child.poll() is None

    def send(self, number: signal.Signals) -> None:
        """Send a signal if the process is running."""
        if self._child is not None and self.is_running():
            self._child.send_signal(number)

    def wait(self, timeout: float) -> int | None:
        """Wait for the exit code; return None on timeout."""
        if self._child is None:
            return None
        try:
            return self._child.wait(timeout)
        except subprocess.TimeoutExpired:
            return None

    def stop(self, timeout: float = _KILL_SECONDS) -> None:
        """Stop the process; kill it if it does not exit in time."""
        self.send(signal.SIGCONT)
        self.send(signal.SIGTERM)
        if self.wait(timeout) is None:
            self.send(signal.SIGKILL)
            self.wait(timeout)

    def describe(self) -> dict[str, Any]:
        """Return the entry of the process in the fleet's description."""
        return {
            'role': self.role,
            'id': self.name,
            'availability_zone': self.zone,
            'addresses': self.addresses,
            'pid': self.pid,
        }

    def _prints_address(self) -> bool:
        """Return whether the process prints its address first."""
        return self.role != 'guavagated'


def make_standin_command(role: str, options: dict[str, Any]) -> list[str]:
    """Return the command that starts a stand-in."""
    pairs = [
        f'{name}={_format_value(value)}' for name, value in options.items()
    ]
    return ['-m', 'standins', role, '--listen', '127.0.0.1:0', *pairs]


def make_daemon_command(settings: Path) -> list[str]:
    """Return the command that starts an instance."""
    return ['-c', _RUN_DAEMON, '--settings', str(settings)]


def find_free_address() -> str:
    """Return a loopback address that is free for both TCP and UDP.

    Uses ports below the kernel's ephemeral range. An outgoing connection may
    take a port of that range between this check and the start of the daemon;
    this happened when 128 instances started.
    """
    while True:
        address = ('127.0.0.1', next(_PORTS))
        with (
            socket.socket() as stream,
            socket.socket(socket.AF_INET, socket.SOCK_DGRAM) as datagram,
            contextlib.suppress(OSError),
        ):
            stream.bind(address)
            datagram.bind(address)
            return f'{address[0]}:{address[1]}'


def _format_value(value: Any) -> str:
    """Format the value of a command line option."""
    return str(value).lower() if isinstance(value, bool) else str(value)


def stop_all(processes: list[Process]) -> None:
    """Stop processes in parallel."""
    gevent.joinall([gevent.spawn(process.stop) for process in processes])
