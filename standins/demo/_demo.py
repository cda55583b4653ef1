"""Runs a fleet with callers and trainers and injects faults."""

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

# Actions on the fleet, each with its time as a share of the duration.
Schedule = Sequence[tuple[float, str]]

DEMO_SCHEDULE: Final[Schedule] = (
    (0.3, 'kill'),
    (0.4, 'start'),
    (0.6, 'stop'),
    (0.7, 'start'),
)
# Also has faults of upstreams and the platform, some at the same time.
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
    """A run of the demo.

    Parameters
    ----------
    fleet
        Fleet to run on; `run` starts it.
    seconds
        How long callers and trainers send requests.
    """

    def __init__(self, fleet: Fleet, seconds: float) -> None:
        self._fleet = fleet
        self._seconds = seconds
        self._actors: list[Process] = []
        self._actor_failures: list[str] = []
        self._progress = Progress(fleet.history)
        self._recorder = Recorder(str(fleet.history), 'demo')
        self._start = time.monotonic()
        self._actions: dict[str, Callable[[], None]] = {
            'kill': self._kill_instance,
            'stop': self._stop_instance,
            'start': self._start_instance,
            'pause': self._pause_instance,
            'wake': self._resume_instance,
            **make_fault_actions(fleet, self._record_fault),
        }

    def run(
        self, instances: int, schedule: Schedule = DEMO_SCHEDULE
    ) -> Summary:
        """Run the schedule under load and check the history.

        Actions are ``kill``, ``stop``, ``start``, ``pause`` and ``wake``, and
        those of `make_fault_actions`.
        """
        self._print(f'starting {instances} instances and their stand-ins')
        self._fleet.start(instances)
        self._print('all instances are ready')
        self._start_actors()
        gevent.joinall(
            [
                gevent.spawn_later(share * self._seconds, self._actions[action])
                for share, action in schedule
            ]
            + [gevent.spawn(self._show_progress)],
            raise_error=True,
        )
        self._stop_actors()
        paths = self._fleet.history.glob('*.jsonl')
        summary = summarize(read_history(*paths))
        # The history of a caller or trainer that failed may be incomplete.
        summary.problems.extend(self._actor_failures)
        return summary

    def _kill_instance(self) -> None:
        """Kill an instance."""
        instance = self._fleet.instances[1]
        self._record_fault(f'SIGKILL {instance.name} in {instance.zone}')
        self._fleet.kill(instance)

    def _stop_instance(self) -> None:
        """Stop an instance gracefully."""
        instance = self._fleet.instances[0]
        self._record_fault(f'SIGTERM {instance.name} in {instance.zone}')
        exit_code = self._fleet.stop_gracefully(instance)
        self._print(f'{instance.name} has ended with exit code {exit_code}')

    def _pause_instance(self) -> None:
        """Pause an instance, which does not notice the time that passes."""
        instance = self._fleet.instances[0]
        self._record_fault(f'SIGSTOP {instance.name} in {instance.zone}')
        instance.send(signal.SIGSTOP)

    def _resume_instance(self) -> None:
        """Resume the paused instance."""
        instance = self._fleet.instances[0]
        self._record_fault(f'SIGCONT {instance.name}')
        instance.send(signal.SIGCONT)

    def _start_instance(self) -> None:
        """Start a replacement and wait until it is ready."""
        instance = self._fleet.start_instance()
        self._record_fault(f'starting {instance.name} in {instance.zone}')
        self._fleet.wait_until_ready([instance])
        self._print(f'{instance.name} is ready')

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
        """Start the trainer of a deployment."""
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
        """Stop callers and trainers once their pending work is done."""
        self._print('callers and trainers finish their pending work')
        for actor in self._actors:
            actor.send(signal.SIGTERM)
        for actor in self._actors:
            exit_code = actor.wait(DRAIN_SECONDS)
            if exit_code != 0:
                self._actor_failures.append(
                    f'{actor.name} ended with {exit_code}'
                )

    def _show_progress(self) -> None:
        """Print the progress periodically."""
        until = time.monotonic() + self._seconds
        while time.monotonic() < until:
            gevent.sleep(TICK_SECONDS)
            self._print(self._progress.read())

    def _record_fault(self, fault: str) -> None:
        """Print a fault and record it in the history."""
        self._print(fault)
        self._recorder.record(FaultInjected(at=now(), who='demo', fault=fault))

    def _print(self, text: str) -> None:
        """Print a line with the time since the start."""
        click.echo(f'{time.monotonic() - self._start:6.1f} s  {text}')
