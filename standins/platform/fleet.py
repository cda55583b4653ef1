"""Daemon processes, each on its own loopback address."""

import os
import pathlib
import signal
import subprocess
import sys
import time
from collections.abc import Mapping
from typing import Final

import gevent

from standins.platform.duties import WINDOW_SECONDS
from standins.platform.stepped_daemon import OFFSET_VARIABLE
from standins.platform.topology import (
    COLD_EXCESS,
    COLD_SLACK,
    EVACUATE_SECONDS,
    HOME_ZONE,
    REGION_OF,
)

_ROOT: Final = pathlib.Path(__file__).parents[2]
_DAEMON: Final = 'standins.platform.stepped_daemon'
_SETTINGS: Final = """
node-name = "{name}"
ip = "{ip}"
zone = "{zone}"
region = "{region}"
port-range = [7300, 7310]
bootstrap = {first}
{disk}
[listen]
{listen}
[limits]
{limits}
[bounds]
grace-s = 8
lease-ms = 3000
retention-s = 120
strict-revoke = true
revoke-ms = {revoke}
config-apply-ms = 2000
usage-window-s = {window}
evacuate-ms = {evacuate}
cold-excess = {excess}
cold-slack = {slack}
[zones]
{zones}
[platform]
address = "{store}"
[cloud-api]
address = "{duties}"
duties = ["metering"]
"""
REVOKE_SECONDS: Final = 5
_ZONES_TABLE: Final = '\n'.join(
    f'{zone} = "{region}"' for zone, region in REGION_OF.items()
)


class Daemon:
    """A guavagated process; `faults` has the time and kind of each fault."""

    def __init__(
        self,
        name: str,
        ip: str,
        store: str,
        folder: pathlib.Path,
        duty_address: str = '',
        zone: str = HOME_ZONE,
        limits: Mapping[str, int] | None = None,
    ) -> None:
        self._zone = zone
        self._limits = limits or {}
        self._duty_address = duty_address
        self.name = name
        self.ip = ip
        self.is_entry = name.startswith('entry')
        self.address = f'{ip}:8263'
        self.faults: list[tuple[float, str]] = []
        self._store = store
        self._folder = folder
        self._process: subprocess.Popen | None = None
        self._first = True
        self._clock_file = folder / f'{name}.clock'
        self.step_clock(0)

    def start(self) -> None:
        """Start the process unless it already runs.

        Faults overlap, so another one may have started it.
        """
        if self._process is not None and self._process.poll() is None:
            return
        listen = f'front = "{self.address}"\nready = "{self.ip}:8268"'
        path = self._folder / f'{self.name}.toml'
        text = _SETTINGS.format(
            name=self.name,
            ip=self.ip,
            first=str(self._first).lower(),
            disk='' if self.is_entry else 'data-dir = "/nowhere"',
            listen=listen if self.is_entry else '',
            limits='\n'.join(
                f'{name} = {limit}' for name, limit in self._limits.items()
            ),
            store=self._store,
            duties=self._duty_address,
            revoke=REVOKE_SECONDS * 1000,
            window=WINDOW_SECONDS,
            zone=self._zone,
            region=REGION_OF[self._zone],
            zones=_ZONES_TABLE,
            evacuate=EVACUATE_SECONDS * 1000,
            excess=COLD_EXCESS,
            slack=COLD_SLACK,
        )
        path.write_text(text)
        self._first = False
        with (self._folder / f'{self.name}.log').open('ab') as log:
            self._process = subprocess.Popen(
                [sys.executable, '-m', _DAEMON, '--on-platform'],
                cwd=_ROOT,
                env={
                    'PATH': os.environ['PATH'],
                    'PYTHONPATH': str(_ROOT),
                    'GUAVAGATE_SETTINGS': str(path),
                    OFFSET_VARIABLE: str(self._clock_file),
                },
                stdout=log,
                stderr=log,
            )

    def step_clock(self, seconds: float) -> None:
        """Set by how much the time of day of the machine is ahead."""
        # Renamed into place: the daemon may read at any moment.
        new = self._clock_file.with_suffix('.new')
        new.write_text(str(seconds))
        new.replace(self._clock_file)

    def send_signal(self, number: signal.Signals) -> subprocess.Popen | None:
        """Send a signal and return the process if it is running."""
        process = self._process
        if process is None or process.poll() is not None:
            return None
        process.send_signal(number)
        return process

    def kill(self) -> None:
        """Kill the process and wait for its exit."""
        self.send_signal(signal.SIGCONT)
        wait_for_exit(self.send_signal(signal.SIGKILL), 5)

    def list_faults_since(self, since: float) -> set[str]:
        """Return the kinds of faults that were injected since a time."""
        return {what for when, what in self.faults if when >= since}


def wait_for_exit(process: subprocess.Popen | None, limit: float) -> bool:
    """Wait for a process to exit; return whether it did within the limit.

    Takes the process and not the daemon: faults overlap, and another fault may
    have restarted the daemon in the meantime.
    """
    until = time.monotonic() + limit
    while process is not None and process.poll() is None:
        if time.monotonic() > until:
            return False
        gevent.sleep(0.05)
    return True
