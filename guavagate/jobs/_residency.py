"""Applies the regions in force to the jobs of one owner."""

import logging
from collections.abc import Iterable, Iterator
from typing import Final

import msgspec

from guavagate.events import residency as events
from guavagate.events import write
from guavagate.jobs._models import Job, JobId
from guavagate.jobs._work import ItemProgress, JobWork
from guavagate.metrics import Metrics, names
from guavagate.models import InstanceId
from guavagate.ports.store import StoredObject
from guavagate.residency import JobBounds, find_shared_regions
from guavagate.rollouts import ModelDemand
from guavagate.routing import Obstacle, UpstreamTable

_LOGGER: Final = logging.getLogger(__name__)


class JobRegions:
    """Updates the regions of jobs, and puts jobs aside that exclude this owner.

    A job that was accepted may exclude its owner later: the configuration has
    changed, or no instance inside is alive. Its record has no bodies, and they
    are not read here.
    """

    def __init__(
        self, bounds: JobBounds, upstreams: UpstreamTable, metrics: Metrics
    ) -> None:
        self._bounds = bounds
        self._upstreams = upstreams
        self._metrics = metrics
        self._latest: dict[str, Job] = {}
        # Without its record until the store has been listed again.
        self._aside: dict[JobId, StoredObject | None] = {}

    def __contains__(self, job: JobId) -> bool:
        """Return whether a job is put aside."""
        return job in self._aside

    def may_hold(self, job: Job) -> bool:
        """Return whether this instance may hold a job's bodies now."""
        return self._bounds.may_hold_here(self._bounds.find_job_regions(job))

    def may_send(self, work: JobWork, peer: InstanceId) -> bool:
        """Return whether a job's texts may be sent to another instance."""
        return self._bounds.may_hold(work.regions, peer)

    def put_aside(self, job: Job, stored: StoredObject | None) -> None:
        """Put a job aside that excludes this instance; log it once."""
        if job.id not in self._aside:
            write(
                _LOGGER,
                events.JOB_NOT_HELD,
                job=job.id,
                service=job.service,
                regions=sorted(self._bounds.find_job_regions(job) or ()),
            )
        self._aside[job.id] = stored

    def drop(self, job: JobId) -> None:
        """Forget a job that was ended or removed."""
        self._aside.pop(job, None)

    def clear(self) -> None:
        """Forget all jobs that were put aside."""
        self._aside.clear()

    def take_stored(self) -> Iterator[StoredObject]:
        """Return the jobs that were put aside, to be judged again."""
        listed = [each for each in self._aside.values() if each is not None]
        self._aside = {
            job: None for job, stored in self._aside.items() if stored is None
        }
        return iter(listed)

    def record_job(self, job: Job) -> None:
        """Record what binds a model's jobs, without their items."""
        self._latest[job.model] = msgspec.structs.replace(
            job, items=[], path=job.route_path
        )

    def bind_demands(
        self, demands: dict[str, ModelDemand], works: Iterable[JobWork]
    ) -> None:
        """Set the regions of each model's open jobs and of its latest one."""
        listed = list(works)
        for model, job in self._latest.items():
            if self._bounds.find_job_regions(job) is not None:
                demands.setdefault(model, ModelDemand())
        for model, demand in demands.items():
            bounds = [
                each.regions for each in listed if each.job.model == model
            ]
            latest = self._latest.get(model)
            if latest is not None:
                bounds.append(self._bounds.find_job_regions(latest))
            demand.regions = find_shared_regions(bounds)

    def update(self, works: Iterable[JobWork]) -> None:
        """Update the regions of jobs; cancel items that now run outside.

        They resume inside, from the text that they have.
        """
        for work in works:
            regions = self._bounds.find_job_regions(work.job)
            if regions == work.regions:
                continue
            work.regions = regions
            outside = [
                each
                for each in work.items.values()
                if not each.cancelled and self._is_outside(work, each)
            ]
            for progress in outside:
                progress.cancel()
            if outside:
                self._metrics.count(names.ITEMS_MOVED_INSIDE, len(outside))
                write(
                    _LOGGER,
                    events.ITEMS_MOVED_INSIDE,
                    job=work.job.id,
                    items=len(outside),
                    regions=sorted(regions or ()),
                )

    def _is_outside(self, work: JobWork, progress: ItemProgress) -> bool:
        if progress.sampler is None:
            return False
        sampler = self._upstreams.get(progress.sampler)
        if sampler is None:
            return work.regions is not None
        obstacle = self._upstreams.find_obstacle(sampler, work.regions)
        return obstacle is Obstacle.OUTSIDE_REGIONS
