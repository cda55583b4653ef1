"""Texts in the making, as an owner tells them to who may come after it.

A text is durable only when it is listed. The longest texts take most of the
time that a step has, so an owner that dies near its end would have them made
anew from the start, and the step would be late for these few. Copies cost a
few kilobytes a second on the links; all of them may be lost without harm.
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
from guavagate.jobs._work import JobWork, Progress, Text
from guavagate.links import Bus, Message, expect
from guavagate.models import InstanceId, ServiceId, WeightVersion

_LOGGER: Final = logging.getLogger(__name__)

# What a takeover loses of each text is as old as this; a text grows by ten
# events meanwhile, of the hundred that a long one has.
COPY_SECONDS: Final = 0.5
# Of one copy, in characters, the longest texts first: what is left out comes
# with the next one. A burst of 190 texts at twenty events a second is 60,000;
# more is a fleet whose links have other things to carry.
COPY_CHARACTERS: Final = 100_000
# Owners of a few services, and those before them; older ones are of no use.
MOST_SOURCES: Final = 8
# A peer that does not answer gets all anew next time.
REPLY_SECONDS: Final = 0.4


class TextPart(msgspec.Struct, frozen=True):
    """Events of an item's text from the one after `after` on.

    `number` tells texts of one item apart: one that is made anew has another.
    """

    job: JobId
    item: ItemId
    number: int
    after: int
    events: list[str]
    versions: list[WeightVersion]
    whole: bool = False


class TextCopy(Message, frozen=True, kw_only=True):
    """What an owner's texts have grown by; `jobs` are those in work.

    `boot` is drawn anew by each process, as the numbers of its texts are.
    """

    service: ServiceId
    boot: int
    jobs: list[JobId]
    parts: list[TextPart]


class TextCopied(Message, frozen=True, kw_only=True):
    """The copy was taken in."""


class _Told(msgspec.Struct):
    """How far a peer knows a text."""

    text: Text
    number: int
    events: int
    whole: bool = False


class _Copy(msgspec.Struct):
    """A text that an owner has told, by its number there."""

    number: int
    text: Text


_Key: TypeAlias = tuple[JobId, ItemId]
_Source: TypeAlias = tuple[ServiceId, InstanceId, int]
_Copies: TypeAlias = dict[JobId, dict[ItemId, _Copy]]


class TextReplicas:
    """The copies that this instance keeps for others, and sends."""

    def __init__(self, bus: Bus) -> None:
        self._bus = bus
        self._boot = secrets.randbits(62)
        self._numbers = itertools.count(1)
        # Two that both believe to own a service make two texts of each item;
        # pieces of both put together are a text that no sampler has made.
        self._kept: OrderedDict[_Source, _Copies] = OrderedDict()
        self._told: dict[tuple[ServiceId, InstanceId], dict[_Key, _Told]] = {}
        bus.register(TextCopy, self._on_copy)

    def send(
        self,
        service: ServiceId,
        works: list[JobWork],
        peers: Iterable[InstanceId],
    ) -> None:
        """Tell peers what was made since they were told last."""
        for peer in peers:
            told = self._told.get((service, peer), {})
            grown = self._choose_grown(works, told)
            copy = TextCopy(
                service=service,
                boot=self._boot,
                jobs=[work.job.id for work in works],
                parts=[part for _, part in grown],
            )
            # Counted before the answer, during which the texts grow on.
            counts = {
                (part.job, part.item): _Told(
                    progress.text,
                    part.number,
                    part.after + len(part.events),
                    part.whole,
                )
                for progress, part in grown
            }
            try:
                self._bus.request(peer, copy, TextCopied, REPLY_SECONDS)
            except LinkError as error:
                _LOGGER.debug('%s took no copy: %s', peer, error)
                self._told.pop((service, peer), None)
            else:
                open_jobs = set(copy.jobs)
                kept = {
                    key: each
                    for key, each in told.items()
                    if key[0] in open_jobs
                }
                self._told[service, peer] = {**kept, **counts}

    def restore(self, work: JobWork) -> None:
        """Give a job that is taken over the texts that were copied here."""
        for (service, _, _), copies in self._kept.items():
            if service != work.job.service:
                continue
            for item, copy in copies.pop(work.job.id, {}).items():
                use_text(work, item, copy.text)

    def _on_copy(self, sender: InstanceId, message: Message) -> TextCopied:
        copy = expect(message, TextCopy)
        source = (copy.service, sender, copy.boot)
        before = self._kept.get(source, {})
        copies = {job: before.get(job, {}) for job in copy.jobs}
        self._kept[source] = copies
        self._kept.move_to_end(source)
        while len(self._kept) > MOST_SOURCES:
            self._kept.popitem(last=False)
        for part in copy.parts:
            if part.job in copies:
                _take_part(copies[part.job], part)
        return TextCopied()

    def _choose_grown(
        self, works: list[JobWork], told: dict[_Key, _Told]
    ) -> list[tuple[Progress, TextPart]]:
        """Return what a peer lacks of texts that are not listed yet."""
        grown = [
            (progress, part)
            for work in works
            for progress in work.items.values()
            if progress.item.id not in work.log.committed
            and (part := self._cut_part(work.job.id, progress, told))
        ]
        grown.sort(key=lambda each: -each[0].text.last)
        left = COPY_CHARACTERS
        chosen: list[tuple[Progress, TextPart]] = []
        for progress, part in grown:
            left -= sum(map(len, part.events))
            if left < 0 and chosen:
                break
            chosen.append((progress, part))
        return chosen

    def _cut_part(
        self, job: JobId, progress: Progress, told: dict[_Key, _Told]
    ) -> TextPart | None:
        """Return what a peer lacks of a text; one made anew it lacks whole."""
        known = told.get((job, progress.item.id))
        text = progress.text
        if known is None or known.text is not text:
            known = _Told(text, next(self._numbers), 0)
        if text.last == known.events and text.whole == known.whole:
            return None
        return TextPart(
            job,
            progress.item.id,
            known.number,
            known.events,
            text.events[known.events :],
            list(text.versions),
            text.whole,
        )


def use_text(work: JobWork, item: ItemId, text: Text) -> None:
    """Have an item go on with a text, if it fits and more was made of it."""
    progress = work.items.get(item)
    if progress is None or progress.done:
        return
    mine = progress.text
    more = (text.last, text.whole) > (mine.last, mine.whole)
    if more and text.fits(work.job.min_version, None):
        progress.text = text


def _take_part(copies: dict[ItemId, _Copy], part: TextPart) -> None:
    """Put a part behind what is here of the same text.

    Messages may come late, after newer ones: what belongs to an older text, or
    adds nothing, is left. Behind a gap a part is of no use.
    """
    held = copies.get(part.item)
    if held is None or held.number < part.number:
        held = _Copy(part.number, Text())
    events = held.text.events
    fits = held.number == part.number and part.after <= len(events)
    end = part.after + len(part.events)
    if not fits or (end, part.whole) <= (len(events), held.text.whole):
        return
    events = [*events[: part.after], *part.events]
    held.text = Text(events, list(part.versions), len(events), part.whole)
    copies[part.item] = held
