"""Daemons as separate processes, each on a loopback address of its own."""

import os
import pathlib
import signal
import subprocess
import sys
import time
from typing import Final

import gevent

from standins.platform.duties import WINDOW_SECONDS

_ROOT: Final = pathlib.Path(__file__).parents[2]
_SETTINGS: Final = """
node-name = "{name}"
ip = "{ip}"
zone = "z1"
region = "r1"
port-range = [7300, 7310]
bootstrap = {first}
{disk}
[listen]
{listen}
[bounds]
grace-s = 8
lease-ms = 3000
retention-s = 120
strict-revoke = true
revoke-ms = {revoke}
config-apply-ms = 2000
usage-window-s = {window}
[platform]
address = "{store}"
[cloud-api]
address = "{duties}"
duties = ["metering"]
"""
REVOKE_SECONDS: Final = 5


class Daemon:
    """One guavagated process; `faults` are when and what was done to it."""

    def __init__(
        self,
        name: str,
        ip: str,
        store: str,
        folder: pathlib.Path,
        duties: str = '',
    ) -> None:
        self._duties = duties
        self.name = name
        self.ip = ip
        self.entry = name.startswith('entry')
        self.address = f'{ip}:8263'
        self.faults: list[tuple[float, str]] = []
        self._store = store
        self._folder = folder
        self._process: subprocess.Popen | None = None
        self._first = True

    def start(self) -> None:
        """Start the process, unless another fault has done so."""
        if self._process is not None and self._process.poll() is None:
            return
        listen = f'front = "{self.address}"\nready = "{self.ip}:8268"'
        path = self._folder / f'{self.name}.toml'
        text = _SETTINGS.format(
            name=self.name,
            ip=self.ip,
            first=str(self._first).lower(),
            disk='' if self.entry else 'data-dir = "/nowhere"',
            listen=listen if self.entry else '',
            store=self._store,
            duties=self._duties,
            revoke=REVOKE_SECONDS * 1000,
            window=WINDOW_SECONDS,
        )
        path.write_text(text)
        self._first = False
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-m', 'guavagate.daemon', '--on-platform'],
                cwd=_ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'PYTHONPATH': str(_ROOT),
                    'GUAVAGATE_SETTINGS': str(path),
                },
                stdout=log,
                stderr=log,
            )

    def send(self, number: signal.Signals) -> subprocess.Popen | None:
        """Send a signal; return the process, if there is one."""
        process = self._process
        if process is None or process.poll() is not None:
            return None
        process.send_signal(number)
        return process

    def end(self) -> None:
        """End it for good."""
        self.send(signal.SIGCONT)
        wait_ended(self.send(signal.SIGKILL), 5)

    def suffered(self, since: float) -> set[str]:
        """Return what was done to it since a time."""
        return {what for when, what in self.faults if when >= since}


def wait_ended(process: subprocess.Popen | None, limit: float) -> bool:
    """Wait for a process's end; return whether it came in so many seconds.

    Faults overlap: by then another one may have started the daemon again, so
    the process is waited for and not the daemon.
    """
    until = time.monotonic() + limit
    while process is not None and process.poll() is None:
        if time.monotonic() > until:
            return False
        gevent.sleep(0.05)
    return True
