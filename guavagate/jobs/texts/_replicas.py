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
from collections.abc import Callable
from typing import Final, TypeAlias

import msgspec

from guavagate.clock import Clock
from guavagate.exceptions import LinkError
from guavagate.jobs._models import ItemId, JobId
from guavagate.jobs._work import (
    ItemProgress,
    JobWork,
    Text,
    measure_event,
)
from guavagate.jobs.texts._adoption import adopt_text, is_much_longer
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
# How often each message of a handover is tried; the jobs are continued without
# the texts then.
HANDOVER_ATTEMPTS: Final = 3
HANDOVER_RETRY_SECONDS: Final = 0.2


class TextPart(msgspec.Struct, frozen=True, omit_defaults=True):
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
    unique only within a process. With `handover`, the sender has stopped to
    work on the jobs, and the receiver continues them.
    """

    service: ServiceId
    boot: int
    jobs: list[JobId]
    parts: list[TextPart]
    handover: bool = False


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
_Updates: TypeAlias = list[tuple[ItemProgress, TextPart]]


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
        self._on_handover: dict[ServiceId, Callable[[], None]] = {}
        bus.register(TextCopy, self._on_copy)

    def subscribe_handover(
        self, service: ServiceId, callback: Callable[[], None]
    ) -> None:
        """Call `callback`, which must not block, when jobs are handed over."""
        self._on_handover[service] = callback

    def send(
        self,
        service: ServiceId,
        works: list[JobWork],
        peer: InstanceId,
        longest: int | None = None,
    ) -> None:
        """Send a peer the events since the last message to it.

        Parameters
        ----------
        longest
            How many texts to send, the longest first; None for all.
        """
        sent = self._sent.get((service, peer), {})
        updates = self._select_updates(works, sent, longest)
        copy = self._make_copy(service, works, updates)
        # Counted before the request, as the texts grow while it runs.
        counts = _count_sent(updates)
        try:
            self._bus.request(peer, copy, TextCopied, REPLY_TIMEOUT_SECONDS)
        except LinkError as error:
            _LOGGER.debug('%s did not store a replica: %s', peer, error)
            self._sent.pop((service, peer), None)
        else:
            open_jobs = set(copy.jobs)
            unchanged = {
                key: each for key, each in sent.items() if key[0] in open_jobs
            }
            self._sent[service, peer] = {**unchanged, **counts}

    def hand_over(
        self,
        service: ServiceId,
        works: list[JobWork],
        peer: InstanceId,
        clock: Clock,
    ) -> None:
        """Send a peer all texts of jobs that it continues from now on.

        The peer may have used the earlier replicas up, so nothing that it
        acknowledged counts. At least one message is sent: without any text,
        it still tells the peer that another instance worked on the jobs.
        """
        self._sent.pop((service, peer), None)
        sent: dict[_Key, _SentText] = {}
        updates = self._select_updates(works, sent)
        attempts = HANDOVER_ATTEMPTS
        while attempts:
            copy = self._make_copy(service, works, updates, handover=True)
            try:
                self._bus.request(peer, copy, TextCopied, REPLY_TIMEOUT_SECONDS)
            except LinkError as error:
                _LOGGER.debug('%s took no texts over: %s', peer, error)
                attempts -= 1
                clock.sleep(HANDOVER_RETRY_SECONDS)
                continue
            sent.update(_count_sent(updates))
            updates = self._select_updates(works, sent)
            if not updates:
                return

    def adopt(self, work: JobWork) -> int:
        """Adopt replicas into a job in progress; return how many.

        The runs of texts that are much shorter than their replicas are
        cancelled. Call this again until they have ended.
        """
        adopted = 0
        for (service, _, _), replicas in self._received.items():
            if service != work.job.service:
                continue
            texts = replicas.get(work.job.id, {})
            for item, replica in list(texts.items()):
                progress = work.items.get(item)
                if progress is None or progress.sampler is None:
                    texts.pop(item)
                    adopted += adopt_text(work, item, replica.text)
                elif is_much_longer(replica.text, progress.text):
                    progress.cancel()
                else:
                    texts.pop(item)
        return adopted

    def drop_service(self, service: ServiceId) -> None:
        """Drop the texts of a service that this instance may not hold."""
        for source in [each for each in self._received if each[0] == service]:
            self._received.pop(source)

    def _make_copy(
        self,
        service: ServiceId,
        works: list[JobWork],
        updates: _Updates,
        *,
        handover: bool = False,
    ) -> TextCopy:
        return TextCopy(
            service=service,
            boot=self._boot,
            jobs=[work.job.id for work in works],
            parts=[part for _, part in updates],
            handover=handover,
        )

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
        on_handover = self._on_handover.get(copy.service)
        if copy.handover and on_handover is not None:
            on_handover()
        return TextCopied()

    def _select_updates(
        self,
        works: list[JobWork],
        sent: dict[_Key, _SentText],
        longest: int | None = None,
    ) -> _Updates:
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
        chosen: _Updates = []
        for progress, part in updates[:longest]:
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


def _count_sent(updates: _Updates) -> dict[_Key, _SentText]:
    return {
        (part.job, part.item): _SentText(
            progress.text,
            part.number,
            part.after + len(part.events),
            part.whole,
        )
        for progress, part in updates
    }


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
    replica.text = Text(
        events,
        list(part.versions),
        len(events),
        part.whole,
        sum(map(measure_event, events)),
    )
    replicas[part.item] = replica
