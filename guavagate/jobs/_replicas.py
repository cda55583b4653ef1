"""Replicates partial texts from a job owner to its possible successors.

A text is durable only once it is committed. The longest texts take most of a
step's time. If the owner died near the end of a step, its successor would
restart them from the first event, and the step would be late because of these
few. Replicas cost a few kilobytes per second on the links, and losing all of
them does no harm.
"""

import itertools
import logging
import secrets
from collections import OrderedDict
from collections.abc import Iterable
from typing import Final, TypeAlias

import msgspec

from guavagate.exceptions import LinkError
from guavagate.jobs._models import ItemId, JobId
from guavagate.jobs._work import ItemProgress, JobWork, Text
from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId, ServiceId, WeightVersion

_LOGGER: Final = logging.getLogger(__name__)

# A takeover loses this much of each text: about ten events, of the hundred
# that a long text has.
REPLICATION_INTERVAL_SECONDS: Final = 0.5
# Limit of one message if the link's capacity is unknown. The longest texts go
# first, the rest follows in the next message.
DEFAULT_MESSAGE_CHARACTERS: Final = 100_000
# Share of the instance's link that replicas for one peer may use. Events of 400
# characters, twenty a second in each of 270 texts, are two megabytes a second.
# With a limit below that rate most texts have no replica, and a takeover
# restarts them from the first event.
LINK_SHARE: Final = 0.05
# Covers the current and former owners of a few services; replicas of older
# sources are useless.
MAX_SOURCES: Final = 8
# A peer that does not reply in time gets the complete texts next time.
REPLY_TIMEOUT_SECONDS: Final = 0.4


class TextPart(msgspec.Struct, frozen=True):
    """The events of an item's text that follow the first `after` events.

    `number` distinguishes the texts of one item: a restarted text has another.
    """

    job: JobId
    item: ItemId
    number: int
    after: int
    events: list[str]
    versions: list[WeightVersion]
    whole: bool = False


class TextCopy(Message, frozen=True, kw_only=True):
    """New events of an owner's texts; `jobs` are its open jobs.

    `boot` is a random number of the sending process, as text numbers are
    unique only within a process.
    """

    service: ServiceId
    boot: int
    jobs: list[JobId]
    parts: list[TextPart]


class TextCopied(Message, frozen=True, kw_only=True):
    """Acknowledges a `TextCopy`."""


class _SentText(msgspec.Struct):
    """How much of a text a peer has."""

    text: Text
    number: int
    event_count: int
    complete: bool = False


class _Replica(msgspec.Struct):
    """A replicated text and its number at the owner."""

    number: int
    text: Text


_Key: TypeAlias = tuple[JobId, ItemId]
_Source: TypeAlias = tuple[ServiceId, InstanceId, int]
_Replicas: TypeAlias = dict[JobId, dict[ItemId, _Replica]]


def compute_message_limit(link_bytes_per_second: float) -> int:
    """Return the characters that one replication message may have.

    Parameters
    ----------
    link_bytes_per_second
        Capacity of this instance's link; 0 if unknown.
    """
    if not link_bytes_per_second:
        return DEFAULT_MESSAGE_CHARACTERS
    share = link_bytes_per_second * LINK_SHARE * REPLICATION_INTERVAL_SECONDS
    return int(share)


class TextReplicas:
    """Sends replicas to peers and stores those of other instances.

    Parameters
    ----------
    message_limit
        The most characters of events in one message.
    """

    def __init__(
        self, bus: Bus, message_limit: int = DEFAULT_MESSAGE_CHARACTERS
    ) -> None:
        self._bus = bus
        self._message_limit = message_limit
        self._boot = secrets.randbits(62)
        self._numbers = itertools.count(1)
        # Two instances that both believe they own a service produce two texts
        # of each item. Joining parts of both would give a text that no sampler
        # generated, so replicas are stored by source.
        self._received: OrderedDict[_Source, _Replicas] = OrderedDict()
        self._sent: dict[
            tuple[ServiceId, InstanceId], dict[_Key, _SentText]
        ] = {}
        bus.register(TextCopy, self._on_copy)

    def send(
        self,
        service: ServiceId,
        works: list[JobWork],
        peers: Iterable[InstanceId],
    ) -> None:
        """Send peers the events since the last message to each of them."""
        for peer in peers:
            sent = self._sent.get((service, peer), {})
            updates = self._select_updates(works, sent)
            copy = TextCopy(
                service=service,
                boot=self._boot,
                jobs=[work.job.id for work in works],
                parts=[part for _, part in updates],
            )
            # Counted before the request, as the texts grow while it runs.
            counts = {
                (part.job, part.item): _SentText(
                    progress.text,
                    part.number,
                    part.after + len(part.events),
                    part.whole,
                )
                for progress, part in updates
            }
            try:
                self._bus.request(peer, copy, TextCopied, REPLY_TIMEOUT_SECONDS)
            except LinkError as error:
                _LOGGER.debug('%s did not store a replica: %s', peer, error)
                self._sent.pop((service, peer), None)
            else:
                open_jobs = set(copy.jobs)
                unchanged = {
                    key: each
                    for key, each in sent.items()
                    if key[0] in open_jobs
                }
                self._sent[service, peer] = {**unchanged, **counts}

    def restore(self, work: JobWork) -> None:
        """Restore the replicated texts into a job that is taken over."""
        for (service, _, _), replicas in self._received.items():
            if service != work.job.service:
                continue
            for item, replica in replicas.pop(work.job.id, {}).items():
                adopt_text(work, item, replica.text)

    def _on_copy(self, sender: InstanceId, message: Message) -> TextCopied:
        copy = expect(message, TextCopy)
        source = (copy.service, sender, copy.boot)
        before = self._received.get(source, {})
        replicas = {job: before.get(job, {}) for job in copy.jobs}
        self._received[source] = replicas
        self._received.move_to_end(source)
        while len(self._received) > MAX_SOURCES:
            self._received.popitem(last=False)
        for part in copy.parts:
            if part.job in replicas:
                _apply_part(replicas[part.job], part)
        return TextCopied()

    def _select_updates(
        self, works: list[JobWork], sent: dict[_Key, _SentText]
    ) -> list[tuple[ItemProgress, TextPart]]:
        """Return the parts of uncommitted texts that a peer lacks."""
        updates = [
            (progress, part)
            for work in works
            for progress in work.items.values()
            if progress.item.id not in work.log.committed
            and (part := self._make_part(work.job.id, progress, sent))
        ]
        updates.sort(key=lambda each: -each[0].text.last_number)
        left = self._message_limit
        chosen: list[tuple[ItemProgress, TextPart]] = []
        for progress, part in updates:
            left -= sum(map(len, part.events))
            if left < 0 and chosen:
                break
            chosen.append((progress, part))
        return chosen

    def _make_part(
        self, job: JobId, progress: ItemProgress, sent: dict[_Key, _SentText]
    ) -> TextPart | None:
        """Return the part of a text that a peer lacks, if any.

        A text that has restarted is sent from its first event, under a new
        number.
        """
        known = sent.get((job, progress.item.id))
        text = progress.text
        if known is None or known.text is not text:
            known = _SentText(text, next(self._numbers), 0)
        if (
            text.last_number == known.event_count
            and text.complete == known.complete
        ):
            return None
        return TextPart(
            job,
            progress.item.id,
            known.number,
            known.event_count,
            text.events[known.event_count :],
            list(text.versions),
            text.complete,
        )


def adopt_text(work: JobWork, item: ItemId, text: Text) -> None:
    """Resume an item from a text if it is usable and longer than its own."""
    progress = work.items.get(item)
    if progress is None or progress.done:
        return
    current = progress.text
    longer = (text.last_number, text.complete) > (
        current.last_number,
        current.complete,
    )
    if longer and text.meets_version_bounds(work.job.min_version, None):
        progress.text = text


def _apply_part(replicas: dict[ItemId, _Replica], part: TextPart) -> None:
    """Append a part to the replica of the same text.

    Messages may arrive out of order. A part of an older text, one that adds
    nothing and one that leaves a gap are ignored.
    """
    replica = replicas.get(part.item)
    if replica is None or replica.number < part.number:
        replica = _Replica(part.number, Text())
    events = replica.text.events
    fits = replica.number == part.number and part.after <= len(events)
    end = part.after + len(part.events)
    if not fits or (end, part.whole) <= (len(events), replica.text.complete):
        return
    events = [*events[: part.after], *part.events]
    replica.text = Text(events, list(part.versions), len(events), part.whole)
    replicas[part.item] = replica
