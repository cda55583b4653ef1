"""A fleet of real processes on the loopback address."""

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
# Fleets run on the loopback only.
FLEET_TOKEN: Final = 'gg_fleet-operator'


class Fleet:
    """The platform, the upstreams and the instances.

    Parameters
    ----------
    plan
        What to start.
    folder
        For settings, logs and the history.
    seed
        For the stand-ins' own choices.
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
        self._places: dict[str, tuple[str, ZoneId]] = {}

    @property
    def platform(self) -> str:
        """Return the object API's address."""
        return self._places['object-api'][0]

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
        # All are entered before the first starts, so that each one's settings
        # name all the others.
        for _ in range(instances):
            self._enter_instance()
        for process in self.instances:
            self._run_instance(process)
        self.wait_until_ready(self.instances)

    def start_instance(self) -> Process:
        """Start one more instance, entered into the platform's list."""
        process = self._enter_instance()
        self._run_instance(process)
        return process

    def kill(self, process: Process) -> None:
        """Kill an instance; the platform's list shows it for a while."""
        process.send(signal.SIGKILL)
        process.wait(READY_SECONDS)
        self.instances.remove(process)
        gevent.spawn_later(2, self._unlist, process)

    def stop_gracefully(self, process: Process) -> int | None:
        """Stop an instance as the platform does; return its exit code."""
        self._list(process, 'leaving')
        process.send(signal.SIGTERM)
        code = process.wait(READY_SECONDS)
        self.instances.remove(process)
        self._unlist(process)
        return code

    def wait_until_ready(self, processes: list[Process]) -> None:
        """Wait for the readiness of instances."""
        for process in processes:
            ready = _wait(partial(_is_up, process), READY_SECONDS)
            if not ready:
                raise click.ClickException(
                    f'{process.name} is not ready after {READY_SECONDS:g} s;'
                    f' see {self._log(process.name)}'
                )

    def describe(self) -> dict[str, Any]:
        """Return the fleet's first line."""
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
        """Start a stand-in without waiting for its address."""
        process = Process(role, name, zone)
        process.start(make_standin_command(role, options), self._log(name))
        self.processes.append(process)
        return process

    def wait_for_addresses(self) -> None:
        """Wait until every stand-in that has been started has its address."""
        for process in self.processes:
            if process.name in self._places:
                continue
            address = process.read_address()
            if not address:
                raise click.ClickException(
                    f'{process.name} did not start;'
                    f' see {self._log(process.name)}'
                )
            self._places[process.name] = (address, ZoneId(process.zone))

    def stop(self) -> None:
        """End all processes."""
        stop_all(self.instances)
        stop_all(self.processes)

    def kill_all(self) -> None:
        """End all processes at once, without a planned stop."""
        for process in (*self.instances, *self.processes):
            process.send(signal.SIGKILL)
            process.wait(READY_SECONDS)

    def _enter_instance(self) -> Process:
        """Give an instance its place and enter it into the list."""
        name = f'instance-{next(self._numbers)}'
        process = Process('guavagated', name, next(self._zones))
        process.addresses = {
            'http': find_free_address(),
            'peer': find_free_address(),
        }
        self.instances.append(process)
        self._list(process, 'live')
        return process

    def _run_instance(self, process: Process) -> None:
        """Write an instance's settings and start it."""
        path = self.folder / 'settings' / f'{process.name}.toml'
        path.parent.mkdir(parents=True, exist_ok=True)
        text = render_settings(self._make_settings(process))
        path.write_text(text, encoding='utf-8')
        process.start(make_daemon_command(path), self._log(process.name))

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
        """Start a deployment's engines."""
        for number in range(1, plan.samplers + 1):
            name = f'{plan.id}-{number}'
            options = {
                **msgspec.to_builtins(self.plan.engine),
                'id': name,
                'run': plan.trainer.run if plan.trainer else plan.id,
                'slots': plan.slots,
                'checks_fences': plan.fences_orders,
                'weight_store': self._places['weight-store'][0],
                'history': self.history,
                'seed': self.seed + number,
            }
            self.start_standin('engine', name, options, next(self._zones))

    def _start_service(self, plan: ServicePlan) -> None:
        """Start a service's upstreams."""
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
        """Write the teams' settings as their operators would."""
        for team in self.plan.teams:
            settings = make_settings(team, self._places)
            record = make_record(settings, 1, time.time())
            self._platform_call(
                'PUT', f'/v1/objects/settings/{team.team}', record
            )

    def _make_settings(self, process: Process) -> InstanceSettings:
        """Return an instance's own settings."""
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
        """Return what the platform's list says of an instance."""
        return PeerSettings(
            id=InstanceId(process.name),
            availability_zone=ZoneId(process.zone),
            region=self.plan.region,
            peer_address=process.addresses['peer'],
            http_address=process.addresses['http'],
        )

    def _list(self, process: Process, state: str) -> None:
        """Enter an instance into the platform's list."""
        entry = msgspec.to_builtins(self._make_peer(process))
        self._platform_call(
            'PUT', f'/v1/instances/{process.name}', {**entry, 'state': state}
        )

    def _unlist(self, process: Process) -> None:
        """Take an instance off the platform's list."""
        self._platform_call('DELETE', f'/v1/instances/{process.name}', None)

    def _platform_call(self, method: str, path: str, body: Any) -> None:
        """Call the platform's stand-in."""
        headers = {'Authorization': f'Bearer {CREDENTIAL}'}
        answer = _http.send_request(
            self.platform, method, path, body, headers=headers
        )
        if answer.status != 200:
            raise click.ClickException(f'{method} {path}: {answer.status}')

    def _log(self, name: str) -> Path:
        """Return where a process logs."""
        return self.folder / 'logs' / f'{name}.log'


def _is_up(process: Process) -> bool:
    """Tell whether an instance is ready; raise when it has ended."""
    if not process.is_running():
        raise click.ClickException(f'{process.name} has ended at its start')
    return _http.is_ready(process.addresses['http'])


def _wait(done: Callable[[], bool], limit: float) -> bool:
    """Wait until something is so, looking every tenth of a second."""
    until = time.monotonic() + limit
    while time.monotonic() < until:
        if done():
            return True
        gevent.sleep(0.1)
    return False
