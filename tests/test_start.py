"""What a start spends before an instance serves."""

import subprocess
import sys

# Raises where a plugin is looked for among the installed packages.
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
# Each takes a fifteenth of a start or more, and serves nobody on the platform.
_UNUSED = ('geventhttpclient', 'zmq.asyncio', 'falcon', 'numpy', 'standins')


def test_a_start_loads_and_looks_up_what_it_needs() -> None:
    """All instances were killed; callers get nothing until one is up again.

    The time of a start is processor time: on half a core, what is loaded in
    vain is time in which callers are refused a connection.
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
