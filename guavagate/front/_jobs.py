"""Handles trainers' calls that accept, read and end jobs."""

import logging
from collections.abc import Callable
from typing import Final

from guavagate.clock import Clock
from guavagate.events import jobs as events
from guavagate.events import write
from guavagate.exceptions import OutsideRegionsError
from guavagate.forwarding import STOPPED_RETRY_SECONDS, refuse, send_text
from guavagate.helpers.store_writes import MaybeWrittenError, NotWrittenError
from guavagate.http1 import Exchange
from guavagate.jobs import (
    ItemId,
    Job,
    JobConflictError,
    JobId,
    JobIntake,
    JobReader,
    LookupStatus,
    Page,
)
from guavagate.metrics import Metrics, names
from guavagate.models import TeamId
from guavagate.routing import RouteTable

_LOGGER: Final = logging.getLogger(__name__)
_JSON: Final = (b'Content-Type', b'application/json')
_OCTETS: Final = (b'Content-Type', b'application/octet-stream')
# A refused trainer retries at another instance soon.
JOB_RETRY_SECONDS: Final = 0.5
UNCERTAIN_RETRY_SECONDS: Final = 0.3
ACCEPT_SECONDS: Final = 2.5
END_SECONDS: Final = 2.5
MAX_WAIT_SECONDS: Final = 1.0
# Of a read, with the time that its owner takes.
READ_SECONDS: Final = 1.5


class JobHandler:
    """Handles calls for jobs at any instance.

    Parameters
    ----------
    encode_page
        Encodes a page of results for the trainer.
    """

    def __init__(
        self,
        clock: Clock,
        routes: RouteTable,
        intake: JobIntake,
        reader: JobReader,
        metrics: Metrics,
        encode_page: Callable[[Page], bytes],
    ) -> None:
        self._clock = clock
        self._routes = routes
        self._intake = intake
        self._reader = reader
        self._metrics = metrics
        self._encode_page = encode_page

    def accept(self, exchange: Exchange, job: Job) -> None:
        """Store a job, and answer once it is durable."""
        if _refuse_late(exchange, ACCEPT_SECONDS):
            return
        try:
            new = self._intake.accept(job, ACCEPT_SECONDS)
        except JobConflictError:
            send_text(
                exchange, 409, 'the id is taken by another job; use a new one'
            )
        except OutsideRegionsError as error:
            refuse(exchange, error.problem, error.retry_after)
        except (NotWrittenError, MaybeWrittenError) as error:
            self._respond_not_accepted(exchange, job, error)
        else:
            self._respond_accepted(exchange, job, new=new)

    def _respond_accepted(
        self, exchange: Exchange, job: Job, *, new: bool
    ) -> None:
        self._reader.cache_job(job)
        seconds = self._clock.now() - exchange.arrived_at
        self._metrics.observe(names.ACCEPT_SECONDS, seconds)
        write(
            _LOGGER,
            events.ACCEPTED,
            job=job.id,
            step=job.step,
            items=len(job.items),
            new=new,
            seconds=round(seconds, 3),
        )
        exchange.respond(202, [], b'')

    def _respond_not_accepted(
        self, exchange: Exchange, job: Job, error: Exception
    ) -> None:
        if isinstance(error, MaybeWrittenError):
            write(_LOGGER, events.ACCEPTANCE_UNKNOWN, job=job.id)
            send_text(exchange, 504, 'it may have been accepted; send it again')
            return
        write(_LOGGER, events.REFUSED, job=job.id, reason='no store')
        refuse(exchange, 'the store takes no writes', JOB_RETRY_SECONDS)

    def read(
        self,
        exchange: Exchange,
        job: JobId,
        after: int,
        wait: float,
        team: TeamId,
    ) -> None:
        """Answer with the results from a position on; `wait` in seconds."""
        if _refuse_late(exchange, READ_SECONDS):
            return
        status, page = self._reader.read(
            self._routes.job_services(),
            job,
            after,
            min(wait, MAX_WAIT_SECONDS),
            team,
        )
        if page is None:
            _respond_not_found(exchange, status)
            return
        exchange.respond(200, [_JSON], self._encode_page(page))

    def read_item(
        self, exchange: Exchange, job: JobId, item: ItemId, team: TeamId
    ) -> None:
        """Answer with the body of an item."""
        if _refuse_late(exchange, READ_SECONDS):
            return
        status, body = self._reader.read_item(
            self._routes.job_services(), job, item, team
        )
        if status is not LookupStatus.FOUND:
            _respond_not_found(exchange, status)
            return
        exchange.respond(200, [_OCTETS], body)

    def end(self, exchange: Exchange, job: JobId, team: TeamId) -> None:
        """End a job, and answer once that is durable."""
        if _refuse_late(exchange, END_SECONDS):
            return
        services = self._routes.job_services()
        status = self._reader.exists(services, job, team)
        if status is not LookupStatus.FOUND:
            _respond_not_found(exchange, status)
            return
        try:
            self._intake.end(job, END_SECONDS)
        except (NotWrittenError, MaybeWrittenError):
            send_text(exchange, 504, 'it may have been ended; send it again')
        else:
            exchange.respond(200, [], b'')


def _refuse_late(exchange: Exchange, seconds: float) -> bool:
    """Refuse a call that a planned stop might cut; return whether it was."""
    if exchange.may_take(seconds):
        return False
    refuse(exchange, 'this instance stops', STOPPED_RETRY_SECONDS)
    return True


def _respond_not_found(exchange: Exchange, status: LookupStatus) -> None:
    if status is LookupStatus.MISSING:
        send_text(exchange, 404, 'there is no such job or item')
        return
    refuse(exchange, 'not known at the moment', UNCERTAIN_RETRY_SECONDS)
