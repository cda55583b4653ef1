"""Finished samples on the worker's disk.

When all replicas of a partition are lost, its trainer submits its steps again
and the same samples go to the same workers, by rendezvous hashing. A worker
with a disk then finds what it made before and enters it again, instead of
generating it again. The state checks it like any other: its versions must be
within the bound, and its group undelivered.
"""

import logging

import msgspec

from guavagate.bulk import BulkFolder
from guavagate.events import disk as events
from guavagate.events import write
from guavagate.runs._commands import FinishedSample
from guavagate.runs._messages import GenerateSample

_LOGGER = logging.getLogger(__name__)


class KeptSamples:
    """Keeps and finds finished samples; without a folder, does nothing."""

    def __init__(self, folder: BulkFolder | None) -> None:
        self._folder = folder

    def keep(self, order: GenerateSample, sample: FinishedSample) -> None:
        """Keep a sample, if the disk allows."""
        if self._folder is not None:
            self._folder.put(_key(order), msgspec.msgpack.encode(sample))

    def find(self, order: GenerateSample) -> FinishedSample | None:
        """Return the sample of an order, made on versions still allowed."""
        if self._folder is None:
            return None
        payload = self._folder.get(_key(order))
        if payload is None:
            return None
        sample = msgspec.msgpack.decode(payload, type=FinishedSample)
        oldest = min(version for version, _ in sample.versions)
        if order.oldest is not None and oldest < order.oldest:
            return None
        write(
            _LOGGER,
            events.SAMPLE_FOUND,
            sample=order.sample_id,
            run=order.run,
        )
        return sample


def _key(order: GenerateSample) -> str:
    """Return what the same sample of the same step has, and no other.

    The group is part of it: a run that begins anew may use its step ids again
    with other prompts.
    """
    group = msgspec.json.encode(order.group).decode()
    names = (order.team, order.deployment, order.run, order.sample_id)
    return '\0'.join((*names, group))
