"""Provides instances with the operators' API, for tests of it and the CLI."""

from typing import Any

import falcon
import msgspec
from falcon import testing

from guavagate.auth import Authenticator, hash_token
from guavagate.explain import Explainer, RecentDecisions
from guavagate.measure.settings import SettingsFleet
from guavagate.metrics import Metrics, SeriesRecorder, names
from guavagate.models import (
    CallerId,
    DeploymentId,
    InstanceId,
    RunId,
    SamplerId,
    TeamId,
    ZoneId,
)
from guavagate.operators import (
    InstanceReport,
    OperatorServices,
    ReportCollector,
    RunReport,
    SamplerReport,
    add_metrics_route,
    add_routes,
)
from guavagate.partitions import LocalPartitions
from guavagate.runtime import Runtime
from guavagate.settings import OperatorSettings

FLEET_TOKEN = 'fleet-token'
TEAM_TOKEN = 'team-token'
OTHER_TOKEN = 'other-token'


def team_text(team: str, token: str, weight: float = 1) -> str:
    """Return a team's settings with one operator."""
    return (
        f'team = "{team}"\nweight = {weight}\n'
        f'[[callers]]\nid = "{team}-op"\nrole = "operator"\n'
        f'token_hash = "{hash_token(token)}"\n'
        '[[deployments]]\nid = "consent-llm"\nsamplers = [\n'
        '  {id = "s1", address = "10.0.0.1:80",'
        ' availability_zone = "ilala-hall"},\n]\n'
    )


class Reports:
    """Fixed reports in place of the daemon's."""

    def __init__(self, instance: str) -> None:
        self.instance = InstanceId(instance)
        self.drained = False

    def describe_instance(self) -> InstanceReport:
        """Return the report of this instance."""
        return InstanceReport(
            instance=self.instance,
            availability_zone=ZoneId('ilala-hall'),
            state='draining' if self.drained else 'ready',
        )

    def list_samplers(self) -> list[SamplerReport]:
        """Return one sampler of each team."""
        return [
            SamplerReport(
                team=TeamId(team),
                deployment=DeploymentId('consent-llm'),
                sampler=SamplerId(f's-{self.instance}'),
                availability_zone=ZoneId('ilala-hall'),
                home=self.instance,
                running=3,
                slots=8,
            )
            for team in ('authority', 'trust')
        ]

    def list_runs(self) -> list[RunReport]:
        """Return one run."""
        return [
            RunReport(
                team=TeamId('authority'),
                run=RunId(f'run-{self.instance}'),
                primary=self.instance,
            )
        ]

    def start_drain(self) -> None:
        """Record that a drain was requested."""
        self.drained = True


class Bench:
    """Three instances; requests go to the first."""

    def __init__(self) -> None:
        self.fleet = SettingsFleet(['i0', 'i1', 'i2'])
        self.clock = self.fleet.world.clock
        self.reports: dict[str, Reports] = {}
        self.recents: dict[str, RecentDecisions] = {}
        self.clients = {
            name: testing.TestClient(self._make_app(name))
            for name in self.fleet.teams
        }
        self.clock.advance(3)

    def call(
        self,
        method: str,
        path: str,
        token: str = FLEET_TOKEN,
        json: Any = None,
        body: bytes | None = None,
    ) -> testing.Result:
        """Send one request and wait, in virtual time, for its response."""
        task = self.clock.spawn(
            lambda: self.clients['i0'].simulate_request(
                method,
                path,
                headers={'Authorization': f'Bearer {token}'},
                json=json,
                body=body,
            )
        )
        self.clock.run_until(task.ready, 60)
        answer: testing.Result = task.get(block=False)
        return answer

    def apply(
        self, team: str, token: str, base: int, text: str, as_: str = ''
    ) -> testing.Result:
        """Put a team's settings."""
        return self.call(
            'PUT',
            f'/v1/operators/settings/{team}',
            as_ or token,
            {'toml': text, 'base': base, 'why': 'a test'},
        )

    def _make_app(self, name: str) -> falcon.App:
        world = self.fleet.world
        settings = msgspec.structs.replace(
            world.settings_of(name),
            operators=(
                OperatorSettings(
                    id=CallerId('night-shift'),
                    token_hash=hash_token(FLEET_TOKEN),
                ),
            ),
        )
        teams = self.fleet.teams[name]
        clock = world.hosts[InstanceId(name)].clock
        recent = RecentDecisions(clock, InstanceId(name))
        self.recents[name] = recent
        self.reports[name] = Reports(name)
        runtime = Runtime(
            settings=settings,
            clock=clock,
            bus=world.bus(name),
            store=world.store_of(name),
            members=world.members[InstanceId(name)],
            teams=teams,
            partitions=LocalPartitions({}),
            decisions=recent,
            metrics=Metrics({'instance': name}),
        )
        series = SeriesRecorder(clock, runtime.metrics)
        runtime.metrics.set_gauge(names.MEMBERS, 3)
        series.start()
        app = falcon.App()
        add_metrics_route(app, runtime.metrics)
        add_routes(
            app,
            OperatorServices(
                authenticator=Authenticator(settings, teams),
                teams=teams,
                explainer=Explainer(
                    settings.id, runtime.bus, runtime.members, recent
                ),
                collector=ReportCollector(runtime, self.reports[name], series),
            ),
        )
        return app
