"""Only the tests that KNOWN-RED.txt names may fail."""

import pathlib

import pytest

pytest_plugins = ('pytester',)

_CONFTEST = pathlib.Path(__file__).parent / 'conftest.py'
_TESTS = """
def test_red():
    assert False


def test_other():
    assert {other}
"""


def _run(
    pytester: pytest.Pytester, listed: str, *, other: bool
) -> pytest.RunResult:
    folder = pytester.mkdir('tests')
    (folder / 'conftest.py').write_text(_CONFTEST.read_text())
    (folder / 'test_it.py').write_text(_TESTS.format(other=other))
    listing = pytester.path / 'KNOWN-RED.txt'
    listing.write_text(f'test: {listed}\n  seen: why\n')
    return pytester.runpytest_subprocess()


def test_a_listed_failure_passes_and_is_printed(
    pytester: pytest.Pytester,
) -> None:
    """The run passes over it, but does not hide it."""
    ended = _run(pytester, 'tests/test_it.py::test_red', other=True)
    assert ended.ret is pytest.ExitCode.OK
    ended.stdout.fnmatch_lines(['known red: tests/test_it.py::test_red'])


def test_a_failure_that_is_not_listed_fails_the_run(
    pytester: pytest.Pytester,
) -> None:
    """The list covers no other test."""
    ended = _run(pytester, 'tests/test_it.py::test_red', other=False)
    assert ended.ret is pytest.ExitCode.TESTS_FAILED


def test_an_entry_without_a_test_fails_the_run(
    pytester: pytest.Pytester,
) -> None:
    """A test that was renamed or removed must not stay listed."""
    ended = _run(pytester, 'tests/test_it.py::test_gone', other=True)
    assert ended.ret is pytest.ExitCode.USAGE_ERROR
