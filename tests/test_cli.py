"""Tests of the command-line tool by its output and exit codes."""

import pathlib
from collections.abc import Callable

import click
import pytest
from click.testing import CliRunner, Result
from syrupy.assertion import SnapshotAssertion

from guavagate.auth import hash_token
from guavagate.cli import main
from guavagate.cli._client import Client
from guavagate.models import InstanceId
from tests.operators_bench import FLEET_TOKEN, TEAM_TOKEN, Bench, team_text

Run = Callable[..., Result]


@pytest.fixture
def bench(monkeypatch: pytest.MonkeyPatch) -> Bench:
    """Return instances that the tool reaches without a socket."""
    operators_bench = Bench()

    def request(
        client: Client, endpoint: str, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        if endpoint == 'http://10.0.0.9:1':
            raise ConnectionRefusedError('refused')
        answer = operators_bench.call(
            method, f'/v1/operators{path}', client._token, body=body
        )
        return answer.status_code, answer.content

    monkeypatch.setattr(Client, '_request', request)
    return operators_bench


@pytest.fixture
def run(bench: Bench) -> Run:
    """Return a function that runs the tool."""

    def run_tool(
        *args: str, token: str = FLEET_TOKEN, text: str = ''
    ) -> Result:
        bench.clock.advance(2)
        return CliRunner().invoke(
            main,
            args,
            input=text,
            env={
                'GUAVAGATE_ENDPOINTS': '10.0.0.9:1 10.0.0.1:1',
                'GUAVAGATE_TOKEN': token,
            },
        )

    return run_tool


@pytest.fixture
def file(tmp_path: pathlib.Path, run: Run) -> pathlib.Path:
    """Return a settings file that has been applied as revision 1."""
    path = tmp_path / 'authority.toml'
    path.write_text(team_text('authority', TEAM_TOKEN))
    done = run('settings', 'apply', str(path), '--base', '0', '-m', 'first')
    assert done.exit_code == 0, done.output
    return path


def test_a_text_is_applied_from_the_revision_in_its_header(
    run: Run, file: pathlib.Path
) -> None:
    """The second of two edits of one revision is refused.

    The output of `get` names its revision, so `apply` detects the conflict
    without `--base` and exits with code 4.
    """
    text = run('settings', 'get', 'authority').output
    assert text.startswith('# guavagate: team authority, revision 1\n')
    first, second = text.replace('= 1', '= 2', 1), text.replace('= 1', '= 3', 1)
    apply = ('settings', 'apply', '-', '-m', 'more', '--wait', '5')
    assert 'revision 2' in run(*apply, text=first).output
    refused = run(*apply, text=second, token=TEAM_TOKEN)
    assert refused.exit_code == 4
    assert 'night-shift has made revision 2: more' in refused.output
    nameless = run('settings', 'apply', str(file), '-m', 'x')
    assert nameless.exit_code == 3
    assert '--base' in nameless.output


def test_one_value_is_set_under_its_path(run: Run, file: pathlib.Path) -> None:
    """Set, get, diff, history and rollback work on one value."""
    path = 'authority/deployments/consent-llm/max_staleness'
    assert run('settings', 'set', path, '4', '-m', 'slow').exit_code == 0
    assert run('settings', 'get', path).output == '4\n'
    assert '+max_staleness = 4' in run('settings', 'diff', 'authority').output
    wrong = run('settings', 'get', 'authority/deployment/x')
    assert (wrong.exit_code, "'deployments'" in wrong.output) == (8, True)
    back = run('settings', 'rollback', 'authority', '1', '-m', 'undo')
    assert 'revision 3' in back.output
    history = run('settings', 'history', 'authority').output
    assert 'back to revision 1: undo' in history
    refused = run('settings', 'set', path, 'often', '-m', 'x')
    assert refused.exit_code == 3
    assert 'max_staleness' in refused.output


def test_a_change_elsewhere_in_the_team_is_no_conflict(
    run: Run, file: pathlib.Path, bench: Bench, monkeypatch: pytest.MonkeyPatch
) -> None:
    """Another operator's change is made between reading and writing.

    If it is at another path, `set` reads again and repeats its change. If it
    is at the same path, the change is refused.
    """
    request = Client._request
    rivals = {1: 'weight = 7', 2: 'weight = 8'}

    def request_after_rival(
        client: Client, endpoint: str, method: str, path: str, body: bytes
    ) -> tuple[int, bytes]:
        base = bench.fleet.teams['i0'].table.revisions()
        if method == 'PUT' and max(base.values()) in rivals:
            revision = max(base.values())
            text = team_text('authority', TEAM_TOKEN).replace(
                'weight = 1', rivals.pop(revision)
            )
            bench.apply('authority', TEAM_TOKEN, revision, text)
        return request(client, endpoint, method, path, body)

    monkeypatch.setattr(Client, '_request', request_after_rival)
    path = 'authority/deployments/consent-llm/max_staleness'
    assert run('settings', 'set', path, '4', '-m', 'x').exit_code == 0
    assert run('settings', 'get', 'authority/weight').output == '8\n'
    rivals[4] = 'weight = 9'
    refused = run('settings', 'set', 'authority/weight', '3', '-m', 'x')
    assert refused.exit_code == 4


def test_problems_are_reported_before_anything_is_sent(
    run: Run, tmp_path: pathlib.Path
) -> None:
    """Each line names the file, and the exit code is 3."""
    path = tmp_path / 'bad.toml'
    path.write_text('team = "authority"\nwieght = 2\ncallers = 4\n')
    refused = run('settings', 'apply', str(path), '-m', 'x')
    assert refused.exit_code == 3
    assert refused.output.count(str(path)) == 2


def test_a_lagging_instance_is_named_and_sets_the_exit_code(
    run: Run, file: pathlib.Path, bench: Bench
) -> None:
    """Without the answer of an instance the exit code is not 0."""
    assert run('settings', 'status', 'authority').exit_code == 0
    bench.fleet.world.hosts[InstanceId('i2')].pause()
    lagging = run('settings', 'status', 'authority')
    assert lagging.exit_code == 9
    assert 'no answer' in lagging.output


def test_refusals_have_their_exit_codes(
    run: Run, file: pathlib.Path, bench: Bench
) -> None:
    """Exit codes: wrong token 7, unknown name 8, unavailable store 6."""
    assert run('instances', token='guess').exit_code == 7
    assert run('settings', 'get', 'authority', token='').exit_code == 7
    assert run('drain', 'i1', token=TEAM_TOKEN).exit_code == 7
    assert run('settings', 'get', 'trust').exit_code == 8
    assert run('settings', 'status', 'trust').exit_code == 8
    assert run('explain', 'nothing').exit_code == 8
    bench.fleet.world.store.outage = True
    path = ('settings', 'set', 'authority/weight', '2', '-m', 'x')
    assert run(*path).exit_code == 6
    unreachable = run('--endpoint', '10.0.0.9:1', 'instances')
    assert unreachable.exit_code == 6
    assert '10.0.0.9:1' in unreachable.output


def test_lists_match_their_snapshots(
    run: Run, file: pathlib.Path, snapshot: SnapshotAssertion
) -> None:
    """The lists as tables and JSON match their snapshots."""
    for command in ('instances', 'samplers', 'deployments', 'runs'):
        assert run(command).output == snapshot(name=command)
        assert run(command, '--json').output == snapshot(name=f'{command}-json')
    assert run('settings', 'list').output == snapshot(name='settings')


def test_explain_shows_reasons_and_alternatives(
    run: Run, bench: Bench, file: pathlib.Path
) -> None:
    """A decision of another instance is found by its id."""
    bench.recents['i1'].record(
        'req-1', 'sampler', 's1', 'least loaded', {'s2': 'in temeke-hall'}
    )
    output = run('explain', 'req-1').output
    assert 'i1 sampler: s1\n    because least loaded\n' in output
    assert 'not s2: in temeke-hall' in output


def test_the_report_loads_no_other_files(
    run: Run, bench: Bench, tmp_path: pathlib.Path, file: pathlib.Path
) -> None:
    """The page contains its plot and refers to nothing else."""
    bench.clock.advance(60)
    page = tmp_path / 'report.html'
    assert run('report', '-o', str(page)).exit_code == 0
    content = page.read_text()
    assert content.count('<svg') == 1
    assert 'src=' not in content
    assert '<link' not in content


def test_the_token_command_prints_a_token_and_its_hash() -> None:
    """The hash matches the token, and two tokens differ."""
    lines = CliRunner().invoke(main, ['token']).output.split()
    assert lines[3] == hash_token(lines[1])
    assert lines != CliRunner().invoke(main, ['token']).output.split()


def test_a_config_file_is_checked(tmp_path: pathlib.Path) -> None:
    """An unknown key is refused with a suggestion."""
    config = tmp_path / 'cli.toml'
    config.write_text('endpoint = "10.0.0.1:1"\n')
    refused = CliRunner().invoke(main, ['--config', str(config), 'runs'])
    assert refused.exit_code == 3
    assert "did you mean 'endpoints'?" in refused.output


def test_help_fits_a_narrow_terminal(snapshot: SnapshotAssertion) -> None:
    """Snapshots of all help pages make their changes visible in review."""
    pages = dict(_list_help(main, ()))
    assert pages == snapshot
    for page in pages.values():
        assert max(len(line) for line in page.splitlines()) <= 80


def _list_help(
    command: click.Command, path: tuple[str, ...]
) -> list[tuple[str, str]]:
    page = CliRunner().invoke(main, [*path, '--help']).output
    pages = [(' '.join(path) or 'guavagate', page)]
    if isinstance(command, click.Group):
        for name, below in sorted(command.commands.items()):
            pages.extend(_list_help(below, (*path, name)))
    return pages
