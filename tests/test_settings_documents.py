"""Tests of parsing and checking settings texts."""

import pathlib

import hypothesis
import pytest
import tomli_w
from hypothesis import strategies

from guavagate.auth import hash_token
from guavagate.settings import (
    Problem,
    SettingsProblemsError,
    TeamSettings,
    load_instance_settings,
    parse_team_settings,
    render_settings,
)

_BAD_TEAM = """
team = "authority"
wieght = 2
[[callers]]
id = "portal"
token_hash = "secret-in-plain-text"
role = "boss"
[[deployments]]
id = "consent-llm"
max_staleness = -1
token_timeout = "5 sec"
scoring_service = "scores"
samplers = [
  {id = "s1", address = "10.0.0.1", availability_zone = "ilala-hall"},
  {id = "s1", address = "10.0.0.1:80", availability_zone = "ilala-hall"},
]
"""


def _problems(text: str) -> dict[str, str]:
    with pytest.raises(SettingsProblemsError) as caught:
        parse_team_settings(text, 'team.toml')
    assert 'secret-in-plain-text' not in str(caught.value)
    return {problem.path: str(problem) for problem in caught.value.problems}


def test_all_problems_are_reported_at_once() -> None:
    """Six mistakes yield six lines with file, path, value and remedy."""
    problems = _problems(_BAD_TEAM)
    assert set(problems) == {
        'wieght',
        'callers[0].token_hash',
        'callers[0].role',
        'deployments[0].max_staleness',
        'deployments[0].token_timeout',
        'deployments[0].samplers[0].address',
    }
    assert "did you mean 'weight'?" in problems['wieght']
    assert problems['deployments[0].token_timeout'].startswith(
        "team.toml: deployments[0].token_timeout = '5 sec': "
    )
    assert "'trainer'" in problems['callers[0].role']


def test_references_and_duplicates_are_checked() -> None:
    """Duplicate ids and references to unknown services are reported."""
    text = (
        _BAD_TEAM.replace('wieght', 'weight')
        .replace('secret-in-plain-text', hash_token('x'))
        .replace('boss', 'caller')
        .replace('-1', '1')
        .replace('5 sec', '5s')
        .replace('0.1"', '0.1:90"')
    )
    assert set(_problems(text)) == {
        'deployments[0].samplers[1].id',
        'deployments[0].scoring_service',
    }
    settings = parse_team_settings(
        text.replace('scoring_service = "scores"', '').replace('s1', 's2', 1)
    )
    assert parse_team_settings(render_settings(settings)) == settings


@pytest.mark.parametrize(
    'text', ['team = "a" b', 'team = 3', 'callers = 3', '', 'team = "a/b"']
)
def test_malformed_texts_are_refused(text: str) -> None:
    """Every malformed text yields a list of problems."""
    assert _problems(text)


def test_problems_of_an_instance_file_name_the_file(
    tmp_path: pathlib.Path,
) -> None:
    """An instance's own file is checked like a team's settings."""
    file = tmp_path / 'instance.toml'
    file.write_text('id = "i1"\nhttp_address = "localhost:80"\n')
    with pytest.raises(SettingsProblemsError) as caught:
        load_instance_settings(file)
    lines = str(caught.value).splitlines()
    assert len(lines) == 5
    assert all(line.startswith(str(file)) for line in lines)


_WORDS = strategies.sampled_from([
    'team', 'weight', 'callers', 'deployments', 'samplers', 'id', 'slots',
    'token_hash', 'role', 'services', 'upstreams', 'address', 'weights',
])  # fmt: skip
_VALUES = strategies.recursive(
    strategies.one_of(
        strategies.booleans(),
        strategies.integers(-10, 10**9),
        strategies.floats(allow_subnormal=False),
        strategies.text(max_size=8),
        strategies.sampled_from(['5s', '10.0.0.1:80', 'caller', 'a']),
    ),
    lambda below: (
        strategies.lists(below, max_size=3)
        | strategies.dictionaries(_WORDS, below, max_size=4)
    ),
    max_leaves=12,
)


@hypothesis.settings(derandomize=True, max_examples=200, deadline=None)
@hypothesis.given(strategies.dictionaries(_WORDS, _VALUES, max_size=6))
def test_whatever_is_written_is_taken_or_refused_with_problems(
    plain: dict[str, object],
) -> None:
    """No text ends in another error, and what is taken is read back alike."""
    outcome = _try(tomli_w.dumps(plain))
    if isinstance(outcome, TeamSettings):
        assert parse_team_settings(render_settings(outcome)) == outcome
    else:
        assert all(problem.remedy for problem in outcome)


def _try(text: str) -> TeamSettings | list[Problem]:
    try:
        return parse_team_settings(text)
    except SettingsProblemsError as error:
        return error.problems
