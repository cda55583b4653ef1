"""One instance: its parts, wired and started in order, stopped in reverse."""

import falcon
from gevent.pywsgi import WSGIServer

from guavagate import callers, trainers
from guavagate.auth import Access
from guavagate.health import HealthResource, Readiness, ReadinessResource
from guavagate.integrations.model_engine import HttpModelEngine
from guavagate.integrations.plain_service import HttpPlainService
from guavagate.permits import (
    PermitClient,
    PoolChooser,
    PoolHomes,
    ReportReader,
)
from guavagate.runs import Hosted, RunDriver, RunsClient, SampleWorker
from guavagate.runtime import Runtime
from guavagate.scoring import Scorer
from guavagate.web import ActiveRequests, install_errors, make_server


class Instance:
    """The parts of one instance above its runtime."""

    def __init__(self, runtime: Runtime, hosted: Hosted) -> None:
        self.runtime = runtime
        self.engine = HttpModelEngine(runtime.clock)
        self.service = HttpPlainService(runtime.clock)
        self.access = Access(runtime.settings, runtime.teams)
        self.homes = PoolHomes(runtime)
        self.chooser = PoolChooser(runtime)
        self.permits = PermitClient(runtime, self.homes)
        self.reports = ReportReader(
            runtime, self.homes, self.engine, self.service
        )
        self.runs = RunsClient(runtime)
        self.driver = RunDriver(runtime, hosted)
        self.scorer = Scorer(runtime, self.permits)
        self.worker = SampleWorker(
            runtime,
            self.homes,
            self.permits,
            self.chooser,
            self.engine,
            self.scorer.score,
            self.runs,
        )
        self.readiness = Readiness()
        self.app = self._make_app()
        self.active = ActiveRequests(self.app)
        self.server: WSGIServer = make_server(
            self.active, runtime.settings.http_address
        )

    def start(self) -> None:
        """Start every part, the edge last."""
        self.homes.start()
        self.permits.start()
        self.reports.start()
        self.driver.start()
        self.server.start()

    def finish(self, limit: float) -> None:
        """Answer what is held, then close the edge; bounded in seconds."""
        self.server.stop_accepting()
        try:
            with self.runtime.clock.timeout(limit, TimeoutError):
                self.active.wait_idle()
        except TimeoutError:
            return
        finally:
            self.server.stop(timeout=1)

    def _make_app(self) -> falcon.App:
        app = falcon.App()
        install_errors(app)
        callers.add_routes(
            app,
            callers.Completions(
                runtime=self.runtime,
                access=self.access,
                homes=self.homes,
                permits=self.permits,
                chooser=self.chooser,
                engine=self.engine,
            ),
            callers.Services(
                runtime=self.runtime,
                access=self.access,
                permits=self.permits,
                service=self.service,
            ),
        )
        trainers.add_routes(
            app,
            trainers.Trainers(
                runtime=self.runtime, access=self.access, runs=self.runs
            ),
        )
        app.add_route('/healthz', HealthResource())
        app.add_route('/readyz', ReadinessResource(self.readiness))
        return app
