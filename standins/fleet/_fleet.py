"""Starts and stops a fleet of real processes on the loopback address."""

import itertools
import signal
import time
from collections.abc import Callable
from functools import partial
from pathlib import Path
from typing import Any, Final

import click
import gevent
import msgspec

from guavagate.auth import hash_token
from guavagate.models import CallerId, InstanceId, ZoneId
from guavagate.settings import (
    InstanceSettings,
    OperatorSettings,
    PeerSettings,
    PlatformSettings,
    render_settings,
)
from standins import _http
from standins.fleet._plan import DeploymentPlan, FleetPlan, ServicePlan
from standins.fleet._process import (
    Process,
    find_free_address,
    make_daemon_command,
    make_standin_command,
    stop_all,
)
from standins.fleet._teams import list_tokens, make_record, make_settings

READY_SECONDS: Final = 30.0
CREDENTIAL: Final = 'fleet-credential'
# Needs no secrecy: fleets run on the loopback address only.
FLEET_TOKEN: Final = 'gg_fleet-operator'


class Fleet:
    """A platform, upstreams and instances that run as processes.

    Parameters
    ----------
    plan
        What to start.
    folder
        Where settings, logs and the history are written.
    seed
        Seed of the stand-ins' random choices.
    """

    def __init__(self, plan: FleetPlan, folder: Path, seed: int) -> None:
        self.plan = plan
        self.folder = folder
        self.seed = seed
        self.history = folder / 'history'
        self.processes: list[Process] = []
        self.instances: list[Process] = []
        self._numbers = itertools.count(1)
        self._zones = itertools.cycle(plan.availability_zones)
        self._locations: dict[str, tuple[str, ZoneId]] = {}

    @property
    def platform(self) -> str:
        """Return the object API's address."""
        return self._locations['object-api'][0]

    def start(self, instances: int) -> None:
        """Start everything and wait until every instance is ready."""
        self.history.mkdir(parents=True, exist_ok=True)
        self._start_platform()
        for team in self.plan.teams:
            for deployment in team.deployments:
                self._start_deployment(deployment)
            for service in team.services:
                self._start_service(service)
        self.wait_for_addresses()
        self._apply_settings()
        # Registers all instances before the first one starts, so that the
        # settings of each list all others.
        for _ in range(instances):
            self._register_instance()
        for process in self.instances:
            self._run_instance(process)
        self.wait_until_ready(self.instances)

    def start_instance(self) -> Process:
        """Register and start one more instance."""
        process = self._register_instance()
        self._run_instance(process)
        return process

    def kill(self, process: Process) -> None:
        """Kill an instance; the platform lists it for two more seconds."""
        process.send(signal.SIGKILL)
        process.wait(READY_SECONDS)
        self.instances.remove(process)
        gevent.spawn_later(2, self._delete_list_entry, process)

    def stop_gracefully(self, process: Process) -> int | None:
        """Stop an instance as the platform does and return its exit code."""
        self._put_list_entry(process, 'leaving')
        process.send(signal.SIGTERM)
        exit_code = process.wait(READY_SECONDS)
        self.instances.remove(process)
        self._delete_list_entry(process)
        return exit_code

    def wait_until_ready(self, processes: list[Process]) -> None:
        """Wait until all given instances are ready."""
        for process in processes:
            ready = _wait_until(partial(_is_up, process), READY_SECONDS)
            if not ready:
                raise click.ClickException(
                    f'{process.name} is not ready after {READY_SECONDS:g} s;'
                    f' see {self._get_log_path(process.name)}'
                )

    def describe(self) -> dict[str, Any]:
        """Return the description that the command line prints."""
        return {
            'region': self.plan.region,
            'folder': str(self.folder),
            'processes': [
                process.describe()
                for process in (*self.processes, *self.instances)
            ],
            'tokens': {
                team.team: list_tokens(team) for team in self.plan.teams
            },
            'fleet_operator_token': FLEET_TOKEN,
        }

    def start_standin(
        self, role: str, name: str, options: dict[str, Any], zone: str = ''
    ) -> Process:
        """Start a stand-in without waiting until it listens."""
        process = Process(role, name, zone)
        process.start(
            make_standin_command(role, options), self._get_log_path(name)
        )
        self.processes.append(process)
        return process

    def wait_for_addresses(self) -> None:
        """Wait until every started stand-in has printed its address."""
        for process in self.processes:
            if process.name in self._locations:
                continue
            address = process.read_address()
            if not address:
                raise click.ClickException(
                    f'{process.name} did not start;'
                    f' see {self._get_log_path(process.name)}'
                )
            self._locations[process.name] = (address, ZoneId(process.zone))

    def stop(self) -> None:
        """Stop all processes."""
        stop_all(self.instances)
        stop_all(self.processes)

    def kill_all(self) -> None:
        """Kill all processes without a planned stop."""
        for process in (*self.instances, *self.processes):
            process.send(signal.SIGKILL)
            process.wait(READY_SECONDS)

    def _register_instance(self) -> Process:
        """Assign a zone and addresses to a new instance and register it."""
        name = f'instance-{next(self._numbers)}'
        process = Process('guavagated', name, next(self._zones))
        process.addresses = {
            'http': find_free_address(),
            'peer': find_free_address(),
        }
        self.instances.append(process)
        self._put_list_entry(process, 'live')
        return process

    def _run_instance(self, process: Process) -> None:
        """Write the settings of an instance and start it."""
        path = self.folder / 'settings' / f'{process.name}.toml'
        path.parent.mkdir(parents=True, exist_ok=True)
        text = render_settings(self._make_settings(process))
        path.write_text(text, encoding='utf-8')
        process.start(
            make_daemon_command(path), self._get_log_path(process.name)
        )

    def _start_platform(self) -> None:
        """Start the object API and the weight store."""
        limits = msgspec.to_builtins(self.plan.platform)
        options = {**limits, 'credential': CREDENTIAL, 'seed': self.seed}
        self.start_standin('object-api', 'object-api', options)
        store = msgspec.to_builtins(self.plan.weight_store)
        self.start_standin('weights', 'weight-store', store)
        self.wait_for_addresses()
        secret = self.folder / 'platform-credential'
        secret.touch(mode=0o600)
        secret.write_text(CREDENTIAL, encoding='utf-8')

    def _start_deployment(self, plan: DeploymentPlan) -> None:
        """Start the engines of a deployment."""
        for number in range(1, plan.samplers + 1):
            name = f'{plan.id}-{number}'
            options = {
                **msgspec.to_builtins(self.plan.engine),
                'id': name,
                'run': plan.trainer.run if plan.trainer else plan.id,
                'slots': plan.slots,
                'checks_fences': plan.fences_orders,
                'weight_store': self._locations['weight-store'][0],
                'history': self.history,
                'seed': self.seed + number,
            }
            self.start_standin('engine', name, options, next(self._zones))

    def _start_service(self, plan: ServicePlan) -> None:
        """Start the upstreams of a service."""
        for number in range(1, plan.upstreams + 1):
            name = f'{plan.id}-{number}'
            zone = next(self._zones)
            if plan.scoring:
                self.start_standin('scoring', name, {'id': name}, zone)
                continue
            options = {
                **msgspec.to_builtins(self.plan.service),
                'id': name,
                'history': self.history,
                'seed': self.seed + number,
            }
            self.start_standin('plain', name, options, zone)

    def _apply_settings(self) -> None:
        """Write the settings of all teams as their operators would."""
        for team in self.plan.teams:
            settings = make_settings(team, self._locations)
            record = make_record(settings, 1, time.time())
            self._call_platform(
                'PUT', f'/v1/objects/settings/{team.team}', record
            )

    def _make_settings(self, process: Process) -> InstanceSettings:
        """Return the settings of an instance."""
        secret = self.folder / 'platform-credential'
        return InstanceSettings(
            id=InstanceId(process.name),
            availability_zone=ZoneId(process.zone),
            region=self.plan.region,
            http_address=process.addresses['http'],
            peer_address=process.addresses['peer'],
            peer_credential_file=str(secret),
            platform=PlatformSettings(
                object_api=f'http://{self.platform}',
                credentials_file=str(secret),
            ),
            operators=(
                OperatorSettings(
                    id=CallerId('fleet'), token_hash=hash_token(FLEET_TOKEN)
                ),
            ),
            peers=tuple(
                self._make_peer(other)
                for other in self.instances
                if other is not process
            ),
        )

    def _make_peer(self, process: Process) -> PeerSettings:
        """Return the entry of an instance in the platform's list."""
        return PeerSettings(
            id=InstanceId(process.name),
            availability_zone=ZoneId(process.zone),
            region=self.plan.region,
            peer_address=process.addresses['peer'],
            http_address=process.addresses['http'],
        )

    def _put_list_entry(self, process: Process, state: str) -> None:
        """Write the entry of an instance to the platform's list."""
        entry = msgspec.to_builtins(self._make_peer(process))
        self._call_platform(
            'PUT', f'/v1/instances/{process.name}', {**entry, 'state': state}
        )

    def _delete_list_entry(self, process: Process) -> None:
        """Delete the entry of an instance from the platform's list."""
        self._call_platform('DELETE', f'/v1/instances/{process.name}', None)

    def _call_platform(self, method: str, path: str, body: Any) -> None:
        """Call the object API and require status 200."""
        headers = {'Authorization': f'Bearer {CREDENTIAL}'}
        answer = _http.send_request(
            self.platform, method, path, body, headers=headers
        )
        if answer.status != 200:
            raise click.ClickException(f'{method} {path}: {answer.status}')

    def _get_log_path(self, name: str) -> Path:
        """Return the log file of a process."""
        return self.folder / 'logs' / f'{name}.log'


def _is_up(process: Process) -> bool:
    """Return whether an instance is ready; raise if it has exited."""
    if not process.is_running():
        raise click.ClickException(f'{process.name} exited during its start')
    return _http.is_ready(process.addresses['http'])


def _wait_until(done: Callable[[], bool], limit: float) -> bool:
    """Poll until a condition is true; return whether it was in time."""
    until = time.monotonic() + limit
    while time.monotonic() < until:
        if done():
            return True
        gevent.sleep(0.1)
    return False
