"""Creates the parts of an instance on its runtime and starts them in order."""

from typing import Final

import falcon
from gevent.pywsgi import WSGIServer

from guavagate import callers, trainers
from guavagate.auth import Authenticator
from guavagate.callers import make_attempt_id
from guavagate.health import HealthResource, Readiness, ReadinessResource
from guavagate.integrations.model_engine import HttpModelEngine
from guavagate.integrations.plain_service import HttpPlainService
from guavagate.ledger import Ledger
from guavagate.metrics import make_request_observer
from guavagate.models import InstanceId
from guavagate.permits import (
    PermitClient,
    PoolChooser,
    QueueOwner,
    ReportReader,
    find_upstream,
    serve_queue_owner,
)
from guavagate.quarantine import follow_store, make_quarantine
from guavagate.runs import (
    HostedStates,
    RunDriver,
    RunsClient,
    SampleWorker,
)
from guavagate.runtime import Runtime
from guavagate.scoring import Scorer
from guavagate.util.rendezvous import rank
from guavagate.web import ActiveRequests, add_error_handlers, make_server
from guavagate.weights import WeightRollout

FINISH_POLL_SECONDS: Final = 0.05


class Instance:
    """The parts of one instance that use its runtime."""

    def __init__(self, runtime: Runtime, hosted: HostedStates) -> None:
        self.runtime = runtime
        self.engine = HttpModelEngine(runtime.clock)
        self.service = HttpPlainService(runtime.clock)
        self.authenticator = Authenticator(runtime.settings, runtime.teams)
        self.queue_owner = QueueOwner(runtime)
        serve_queue_owner(runtime, self.queue_owner)
        self.chooser = PoolChooser(runtime)
        self.quarantine = make_quarantine(
            runtime.clock,
            runtime.bus,
            runtime.store,
            runtime.settings.id,
            self._order_hubs,
            lambda name: find_upstream(runtime.teams.all(), name),
        )
        self.permits = PermitClient(runtime, self.queue_owner, self.quarantine)
        self.reports = ReportReader(
            runtime, self.queue_owner, self.engine, self.service
        )
        self.ledger = Ledger(runtime, make_attempt_id)
        self.runs = RunsClient(runtime)
        self.driver = RunDriver(runtime, hosted)
        self.weights = WeightRollout(
            runtime, self.engine, hosted, self.driver.mean_sample_seconds
        )
        self.scorer = Scorer(runtime, self.permits)
        self.worker = SampleWorker(
            runtime,
            self.queue_owner,
            self.permits,
            self.chooser,
            self.engine,
            self.scorer.score,
            self.runs,
        )
        self.readiness = Readiness()
        self.app = self._make_app()
        self.active = ActiveRequests(
            self.app, make_request_observer(runtime.clock, runtime.metrics)
        )
        self.server: WSGIServer = make_server(
            self.active, runtime.settings.http_address
        )

    def start(self) -> None:
        """Start all parts; the HTTP server starts last."""
        self.quarantine.start()
        follow_store(self.runtime.clock, self.runtime.store, self.quarantine)
        self.queue_owner.start()
        self.permits.start()
        self.reports.start()
        self.ledger.start()
        self.driver.start()
        self.weights.start()
        self.server.start()

    def finish(self, limit: float) -> None:
        """Complete requests for up to `limit` seconds, then stop the server.

        Connections stay open meanwhile, and requests that arrive on them could
        be cut at the end, so they are refused.
        """
        self.active.refusing = True
        try:
            with self.runtime.clock.timeout(limit, TimeoutError):
                self._wait_idle()
        except TimeoutError:
            return
        finally:
            self.server.stop(timeout=1)

    def _order_hubs(self) -> list[InstanceId]:
        alive = (each.id for each in self.runtime.members.alive())
        return rank('quarantine', alive)

    def _wait_idle(self) -> None:
        """Wait until no request, sample or permit is in flight."""
        self.active.wait_idle()
        while self.worker.count_active() or self.permits.count_permits():
            self.runtime.clock.sleep(FINISH_POLL_SECONDS)

    def _make_app(self) -> falcon.App:
        app = falcon.App()
        add_error_handlers(app)
        callers.add_routes(
            app,
            callers.CompletionContext(
                runtime=self.runtime,
                authenticator=self.authenticator,
                queue_owner=self.queue_owner,
                permits=self.permits,
                chooser=self.chooser,
                engine=self.engine,
                ledger=self.ledger,
            ),
            callers.ServiceContext(
                runtime=self.runtime,
                authenticator=self.authenticator,
                permits=self.permits,
                service=self.service,
                ledger=self.ledger,
            ),
        )
        trainers.add_routes(
            app,
            trainers.TrainerContext(
                runtime=self.runtime,
                authenticator=self.authenticator,
                runs=self.runs,
            ),
        )
        app.add_route('/healthz', HealthResource())
        app.add_route('/readyz', ReadinessResource(self.readiness))
        return app
