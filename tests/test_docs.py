"""Tests that the documentation matches the code."""

import json
import os
import pathlib
import re
import shlex
import subprocess

import pytest

from guavagate.decisions import RefusalReason

_ROOT = pathlib.Path(__file__).parents[1]
_PAGES = (_ROOT / 'README.md', *sorted((_ROOT / 'docs').rglob('*.md')))
_API = (_ROOT / 'docs' / 'api.md').read_text('utf-8')
_LINK = re.compile(r'\]\(([^)#:\s]+)(?:#[^)]*)?\)')
_REASON = re.compile(r"\breason='([a-z]+(?:_[a-z]+)*)'")
_CODE = re.compile('^[|] `([a-z_]+)` [|] [45]', re.MULTILINE)


def _find_blocks(text: str, kind: str) -> list[str]:
    """Return the contents of a page's fenced blocks in one language."""
    return re.findall(rf'^```{kind}\n(.*?)^```$', text, re.DOTALL | re.M)


def test_the_examples_of_the_api_are_json() -> None:
    """Each example parses as a JSON object."""
    blocks = _find_blocks(_API, 'json')
    assert len(blocks) > 10
    for block in blocks:
        assert isinstance(json.loads(block), dict)


@pytest.mark.parametrize(
    'page', _PAGES, ids=lambda page: str(page.relative_to(_ROOT))
)
def test_relative_links_resolve(page: pathlib.Path) -> None:
    """Each relative link names an existing file or folder."""
    links = _LINK.findall(page.read_text('utf-8'))
    assert [one for one in links if not (page.parent / one).exists()] == []


def test_every_refusal_is_in_the_table() -> None:
    """The page lists every refusal reason in the code."""
    folders = ('auth', 'callers', 'ledger', 'operators', 'permits', 'runs')
    refused = {reason.value for reason in RefusalReason}
    for folder in (*folders, 'trainers', 'web'):
        for module in (_ROOT / 'guavagate' / folder).rglob('*.py'):
            refused.update(_REASON.findall(module.read_text('utf-8')))
    assert set(_CODE.findall(_API)) >= refused


def _find_checked_commands() -> list[str]:
    """Return the commands of all blocks marked as checked."""
    blocks = [
        block
        for page in _PAGES
        for block in _find_blocks(page.read_text('utf-8'), 'console')
    ]
    return [
        line.removeprefix('$ ')
        for block in blocks
        if block.startswith('# checked\n')
        for line in block.splitlines()
        if line.startswith('$ ')
    ]


def test_some_commands_are_checked() -> None:
    """Without checked commands, the next test would test nothing."""
    assert _find_checked_commands()


@pytest.mark.parametrize('command', _find_checked_commands())
def test_a_checked_command_runs_as_printed(command: str) -> None:
    """Each checked command exits without an error."""
    path = f'{_ROOT / ".venv" / "bin"}:{os.environ["PATH"]}'
    ended = subprocess.run(
        shlex.split(command),
        cwd=_ROOT,
        env={**os.environ, 'PATH': path},
        capture_output=True,
        check=False,
        timeout=60,
    )
    assert ended.returncode == 0, ended.stderr
