"""Commands about instances, samplers, deployments, runs and decisions."""

import datetime
from typing import Final, TextIO

import click

from guavagate.cli._context import get_client
from guavagate.cli._output import (
    as_json,
    print_json,
    print_missing,
    print_table,
)
from guavagate.explain import Decision, Explanation
from guavagate.explain.logs import read_lines, render_trace, trace_subject
from guavagate.explain.steps import plot_steps, read_steps, render_steps
from guavagate.models import WeightVersion
from guavagate.operators import (
    DeploymentsBody,
    DrainBody,
    InstancesBody,
    PartitionReport,
    RunsBody,
    SamplersBody,
)

# Given instead of an id, to show all steps in the logs.
STEPS: Final = 'steps'


@click.command()
@as_json
def instances(as_json: bool) -> None:
    """List the instances: state, load, roles, and what is repaired."""
    body = get_client().get('/instances', InstancesBody)
    if as_json:
        print_json(body)
        return
    print_table(
        ('INSTANCE', 'ZONE', 'STATE', 'ACTIVE', 'HOMES', 'PRIMARY/BACKUP'),
        [
            (
                instance.instance,
                instance.availability_zone,
                instance.state,
                instance.active_requests,
                len(instance.homes),
                _count_roles(instance.partitions),
            )
            for instance in body.instances
        ],
        'No instance answered.',
    )
    for instance in body.instances:
        for note in (*instance.waits_for, *instance.repairs):
            click.echo(f'{instance.instance}: {note}')


@click.command()
@as_json
def deployments(as_json: bool) -> None:
    """List the deployments with their load and weight versions."""
    body = get_client().get('/deployments', DeploymentsBody)
    print_missing(body.missing)
    if as_json:
        print_json(body)
        return
    print_table(
        ('TEAM', 'DEPLOYMENT', 'SERVING', 'RUNNING', 'QUEUED', 'VERSIONS'),
        [
            (
                deployment.team,
                deployment.deployment,
                f'{deployment.serving}/{deployment.samplers}',
                f'{deployment.running}/{deployment.slots}',
                deployment.queued,
                ','.join(str(version) for version in deployment.versions),
            )
            for deployment in body.deployments
        ],
        'No deployment is declared.',
    )


@click.command()
@as_json
def samplers(as_json: bool) -> None:
    """List the samplers with their home, load and weight version."""
    body = get_client().get('/samplers', SamplersBody)
    print_missing(body.missing)
    if as_json:
        print_json(body)
        return
    print_table(
        ('DEPLOYMENT', 'SAMPLER', 'STATE', 'RUNNING', 'VERSION', 'HOME'),
        [
            (
                f'{sampler.team}/{sampler.deployment}',
                sampler.sampler,
                sampler.state.value,
                f'{sampler.running}/{sampler.slots}',
                _format_version(sampler.version),
                sampler.home,
            )
            for sampler in body.samplers
        ],
        'No sampler has a home; see `guavagate instances`.',
    )


@click.command()
@as_json
def runs(as_json: bool) -> None:
    """List the trainers' runs: version, step and samples."""
    body = get_client().get('/runs', RunsBody)
    print_missing(body.missing)
    if as_json:
        print_json(body)
        return
    print_table(
        ('TEAM', 'RUN', 'VERSION', 'STEPS', 'STEP', 'DONE', 'STALE'),
        [
            (
                run.team,
                run.run,
                _format_version(run.version),
                run.steps,
                run.step,
                f'{run.finished}/{run.wanted}',
                run.stale,
            )
            for run in body.runs
        ],
        'No run has been started.',
    )


@click.command()
@click.argument('instance')
@as_json
def drain(instance: str, as_json: bool) -> None:
    """Begin a planned stop of INSTANCE: it ends when its work has.

    It leaves the balancer, hands its roles over, finishes the answers it
    holds and exits, within its `stop_limit`.
    """
    path = f'/instances/{instance}/drain'
    body = get_client().send('POST', path, {}, DrainBody)
    if as_json:
        print_json(body)
    else:
        click.echo(
            f'{body.instance} is draining; follow it with `guavagate'
            ' instances`.'
        )


@click.command()
@click.argument('subject', metavar='ID')
@click.argument(
    'logs', metavar='[LOG]...', nargs=-1, type=click.File('r', 'utf-8')
)
@click.option(
    '--plot',
    type=click.Path(dir_okay=False, writable=True),
    help='With `steps`: draw the critical paths to a file, such as steps.png.',
)
@as_json
def explain(
    subject: str, logs: tuple[TextIO, ...], plot: str | None, as_json: bool
) -> None:
    """Show the decisions about a request, job, sample, revision or view.

    ID is what an answer or a log line names: a request, job, item or sample
    id, a model, settings/TEAM/REVISION, or partition/NUMBER.

    With LOG, files of log lines of one or more instances or - for standard
    input, no instance is asked: the way of ID is read from the lines, in time
    order, with what the instances believed meanwhile.

    With `steps` for ID and LOG: what held up the groups of each trainer's
    step, by the critical path of the group that it waited for and of each
    late one; a waterfall's letters are accept, owner, sampler, text, reward,
    list.
    """
    if subject == STEPS:
        _explain_steps(logs, plot, as_json=as_json)
        return
    if logs:
        _explain_from_logs(subject, logs, as_json=as_json)
        return
    body = get_client().get(f'/explain/{subject}', Explanation)
    print_missing(body.missing)
    if as_json:
        print_json(body)
        return
    if body.left_out:
        click.echo(f'{body.left_out} older decisions are left out')
    for decision in body.decisions:
        _print_decision(decision)


def _explain_steps(
    logs: tuple[TextIO, ...], plot: str | None, *, as_json: bool
) -> None:
    lines = [line for log in logs for line in read_lines(log.name, log)]
    steps = read_steps(lines)
    if not steps:
        raise click.ClickException(
            'no line is about a step; give the logs of all instances of the'
            ' time, at level info or lower'
        )
    if plot is not None:
        plot_steps(steps, plot)
    if as_json:
        print_json(steps)
        return
    for text in render_steps(steps):
        click.echo(text)


def _explain_from_logs(
    subject: str, logs: tuple[TextIO, ...], *, as_json: bool
) -> None:
    lines = [line for log in logs for line in read_lines(log.name, log)]
    trace = trace_subject(subject, lines)
    if not trace:
        raise click.ClickException(
            f'no line names {subject}; give the logs of all instances of the'
            ' time, at level info or lower'
        )
    if as_json:
        print_json(trace)
        return
    for text in render_trace(trace):
        click.echo(text)


def _print_decision(decision: Decision) -> None:
    at = datetime.datetime.fromtimestamp(decision.at, datetime.UTC)
    click.echo(
        f'{at:%H:%M:%S.%f} {decision.instance} {decision.kind}:'
        f' {decision.choice}'
    )
    click.echo(f'    because {decision.reason}')
    for name, why in decision.turned_down.items():
        click.echo(f'    not {name}: {why}')


def _count_roles(partitions: tuple[PartitionReport, ...]) -> str:
    primaries = sum(each.role == 'primary' for each in partitions)
    return f'{primaries}/{len(partitions) - primaries}'


def _format_version(version: WeightVersion | None) -> str:
    return '?' if version is None else str(version)
