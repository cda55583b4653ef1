"""Lets the run pass over the tests in KNOWN-RED.txt, and prints them."""

import pathlib

import pytest

_LIST = pathlib.Path(__file__).parents[1] / 'KNOWN-RED.txt'
_MARK = 'test: '


def list_known_failures(text: str) -> list[str]:
    """Return the ids of the listed tests; other lines explain them."""
    lines = text.splitlines()
    return [
        line.removeprefix(_MARK).strip()
        for line in lines
        if line.startswith(_MARK)
    ]


def pytest_collection_modifyitems(
    config: pytest.Config, items: list[pytest.Item]
) -> None:
    """Mark the listed tests as expected to fail."""
    known = _read_known_failures()
    for item in items:
        if item.nodeid in known:
            item.add_marker(pytest.mark.xfail(reason='KNOWN-RED.txt'))
    collected = {item.nodeid for item in items}
    whole_run = config.args_source is not pytest.Config.ArgsSource.ARGS
    missing = [each for each in known if each not in collected]
    if whole_run and missing:
        raise pytest.UsageError(f'KNOWN-RED.txt names no test: {missing}')


def pytest_terminal_summary(
    terminalreporter: pytest.TerminalReporter,
) -> None:
    """Print the list, whether or not its tests were run."""
    for name in _read_known_failures():
        terminalreporter.write_line(f'known red: {name}')


def _read_known_failures() -> list[str]:
    return list_known_failures(_LIST.read_text()) if _LIST.exists() else []
