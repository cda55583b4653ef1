"""Signals that reach a process while it starts."""

import pathlib
import re
import signal

import gevent

from standins.platform.addresses import AddressBlock
from standins.platform.fleet import Daemon

_LIMIT_SECONDS = 30
_LISTENING = 'GG5020'
_RELOADED = 'GG5040'


def _handles_reloads(pid: int) -> bool:
    status = pathlib.Path(f'/proc/{pid}/status').read_text()
    found = re.search(r'SigCgt:\s*([0-9a-f]+)', status)
    caught = int(found.group(1), 16) if found else 0
    return bool(caught >> (signal.SIGHUP - 1) & 1)


def test_changed_settings_do_not_end_a_process_that_starts(
    tmp_path: pathlib.Path,
) -> None:
    """The platform signals that the settings changed, from the first moment.

    The handler was set after the imports and the start, so that the signal
    ended the process.
    """
    block = AddressBlock(13)
    prefix = f'127.0.{block.number}'
    daemon = Daemon('entry-0', f'{prefix}.1', f'{prefix}.250:8000', tmp_path)
    daemon.start()
    log = tmp_path / 'entry-0.log'
    process = daemon.send_signal(signal.SIGCONT)
    assert process is not None
    try:
        with gevent.Timeout(_LIMIT_SECONDS):
            while not _handles_reloads(process.pid):
                gevent.sleep(0.005)
            assert _LISTENING not in log.read_text()
            while _RELOADED not in log.read_text():
                daemon.send_signal(signal.SIGHUP)
                gevent.sleep(0.05)
                assert process.poll() is None
    finally:
        daemon.kill()
        block.release()
