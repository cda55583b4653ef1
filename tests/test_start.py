"""Tests that a start loads no unneeded modules."""

import subprocess
import sys

# Raises if the installed packages are searched for plugins.
_START = """
from importlib import metadata

def fail(**_):
    raise AssertionError('plugins are looked up')

metadata.entry_points = fail
import guavagate.daemon
import guavagate.platform.process
import sys
print(*sys.modules)
"""
# Loading each takes at least a fifteenth of a start; on the platform, none is
# used.
_UNUSED = ('geventhttpclient', 'zmq.asyncio', 'falcon', 'numpy', 'standins')


def test_a_start_loads_no_unneeded_modules_or_plugins() -> None:
    """A slow start delays service after all instances were killed.

    A start is limited by CPU time. On half a core, each unneeded module that
    it loads lengthens the time in which callers are refused a connection.
    """
    ended = subprocess.run(
        [sys.executable, '-c', _START],
        check=True,
        capture_output=True,
        text=True,
    )
    loaded = set(ended.stdout.split())
    assert 'guavagate.platform.process' in loaded
    assert not loaded.intersection(_UNUSED)
