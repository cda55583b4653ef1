"""Runs the demo: the fleet, its callers and trainers, and two stops."""

import signal
import time
from collections.abc import Callable, Sequence
from typing import Final

import click
import gevent
import msgspec

from guavagate.measure.history import FaultInjected, read_history
from standins.demo._faults import make_fault_actions
from standins.demo._progress import Progress
from standins.demo._verdict import Summary, summarize
from standins.fleet import (
    CREDENTIAL,
    CallerPlan,
    DeploymentPlan,
    Fleet,
    Process,
    make_token,
)
from standins.history import Recorder, now

# What is done to the fleet, and when, as a share of the time.
Schedule = Sequence[tuple[float, str]]

DEMO_SCHEDULE: Final[Schedule] = (
    (0.3, 'kill'),
    (0.4, 'start'),
    (0.6, 'stop'),
    (0.7, 'start'),
)
# Beside them, upstreams and the platform fail, some of them together.
FAULT_SCHEDULE: Final[Schedule] = (
    (0.1, 'service-fails'),
    (0.15, 'engine-cuts'),
    (0.2, 'pause'),
    (0.3, 'kill'),
    (0.35, 'wake'),
    (0.4, 'start'),
    (0.45, 'engine-stalls'),
    (0.5, 'engine-dies'),
    (0.55, 'store-down'),
    (0.6, 'stop'),
    (0.7, 'store-loses'),
    (0.75, 'start'),
    (0.8, 'heal'),
)
TICK_SECONDS: Final = 2.0
DRAIN_SECONDS: Final = 60.0


class Demo:
    """One run.

    Parameters
    ----------
    fleet
        What it runs on.
    seconds
        How long callers and trainers go on.
    """

    def __init__(self, fleet: Fleet, seconds: float) -> None:
        self._fleet = fleet
        self._seconds = seconds
        self._actors: list[Process] = []
        self._failed: list[str] = []
        self._progress = Progress(fleet.history)
        self._recorder = Recorder(str(fleet.history), 'demo')
        self._start = time.monotonic()
        self._do: dict[str, Callable[[], None]] = {
            'kill': self._kill_one,
            'stop': self._stop_one,
            'start': self._start_one,
            'pause': self._pause_one,
            'wake': self._wake_one,
            **make_fault_actions(fleet, self._note),
        }

    def run(self, instances: int, acts: Schedule = DEMO_SCHEDULE) -> Summary:
        """Run it all and judge the history.

        Actions are ``kill``, ``stop``, ``start``, ``pause`` and ``wake``, and
        those of `make_fault_actions`.
        """
        self._say(f'starting {instances} instances and their stand-ins')
        self._fleet.start(instances)
        self._say('all instances are ready')
        self._start_actors()
        gevent.joinall(
            [
                gevent.spawn_later(share * self._seconds, self._do[act])
                for share, act in acts
            ]
            + [gevent.spawn(self._show_progress)],
            raise_error=True,
        )
        self._stop_actors()
        paths = self._fleet.history.glob('*.jsonl')
        summary = summarize(read_history(*paths))
        # A caller or trainer that has failed may have recorded too little.
        summary.problems.extend(self._failed)
        return summary

    def _kill_one(self) -> None:
        """Kill an instance without warning."""
        victim = self._fleet.instances[1]
        self._note(f'SIGKILL {victim.name} in {victim.zone}')
        self._fleet.kill(victim)

    def _stop_one(self) -> None:
        """Stop an instance as a planned stop."""
        victim = self._fleet.instances[0]
        self._note(f'SIGTERM {victim.name} in {victim.zone}')
        code = self._fleet.stop_gracefully(victim)
        self._say(f'{victim.name} has ended with exit code {code}')

    def _pause_one(self) -> None:
        """Pause an instance: it believes that no time has passed."""
        victim = self._fleet.instances[0]
        self._note(f'SIGSTOP {victim.name} in {victim.zone}')
        victim.send(signal.SIGSTOP)

    def _wake_one(self) -> None:
        """Let the paused instance go on."""
        victim = self._fleet.instances[0]
        self._note(f'SIGCONT {victim.name}')
        victim.send(signal.SIGCONT)

    def _start_one(self) -> None:
        """Start a replacement."""
        instance = self._fleet.start_instance()
        self._note(f'starting {instance.name} in {instance.zone}')
        self._fleet.wait_until_ready([instance])
        self._say(f'{instance.name} is ready')

    def _start_actors(self) -> None:
        """Start the callers and trainers of all teams."""
        for team in self._fleet.plan.teams:
            for caller in team.callers:
                self._start_caller(team.team, caller)
            for deployment in team.deployments:
                if deployment.trainer is not None:
                    self._start_trainer(team.team, deployment)
        self._fleet.wait_for_addresses()

    def _start_caller(self, team: str, plan: CallerPlan) -> None:
        """Start a caller."""
        mix = msgspec.to_builtins(plan.mix)
        options = {
            **mix,
            'model': plan.model,
            'service': plan.service,
            'rate': plan.rate,
            'impatience': plan.impatience,
            'timeout_s': plan.timeout_s,
            'id': plan.id,
        }
        self._start_actor('caller', team, plan.id, options)

    def _start_trainer(self, team: str, plan: DeploymentPlan) -> None:
        """Start a deployment's trainer."""
        options = {
            **msgspec.to_builtins(plan.trainer),
            'deployment': plan.id,
            'max_staleness': plan.max_staleness,
        }
        self._start_actor('trainer', team, options['run'], options)

    def _start_actor(
        self, role: str, team: str, name: str, options: dict[str, object]
    ) -> None:
        """Start a caller or trainer."""
        common = {
            'token': make_token(team, name),
            'platform': self._fleet.platform,
            'credential': CREDENTIAL,
            'history': self._fleet.history,
            'seed': self._fleet.seed,
        }
        actor = self._fleet.start_standin(role, name, {**options, **common})
        self._actors.append(actor)

    def _stop_actors(self) -> None:
        """Have callers and trainers finish what is outstanding."""
        self._say('callers and trainers finish what is outstanding')
        for actor in self._actors:
            actor.send(signal.SIGTERM)
        for actor in self._actors:
            code = actor.wait(DRAIN_SECONDS)
            if code != 0:
                self._failed.append(f'{actor.name} ended with {code}')

    def _show_progress(self) -> None:
        """Say every so often how far it has come."""
        until = time.monotonic() + self._seconds
        while time.monotonic() < until:
            gevent.sleep(TICK_SECONDS)
            self._say(self._progress.read())

    def _note(self, fault: str) -> None:
        """Say and record what is done to the fleet."""
        self._say(fault)
        self._recorder.record(FaultInjected(at=now(), who='demo', fault=fault))

    def _say(self, text: str) -> None:
        """Print a line with the time since the start."""
        click.echo(f'{time.monotonic() - self._start:6.1f} s  {text}')
