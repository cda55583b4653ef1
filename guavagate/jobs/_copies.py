"""Texts in the making, as an owner tells them to who may come after it.

A text is durable only when it is listed. The longest texts take most of the
time that a step has, so an owner that dies near its end would have them made
anew from the start, and the step would be late for these few. Copies cost a
few kilobytes a second on the links; all of them may be lost without harm.
"""

import logging
from collections.abc import Iterable
from typing import Final

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
# A peer that does not answer gets all anew next time.
REPLY_SECONDS: Final = 0.4


class TextPart(msgspec.Struct, frozen=True):
    """Events of an item's text from the one after `after` on."""

    job: JobId
    item: ItemId
    after: int
    events: list[str]
    versions: list[WeightVersion]


class TextCopy(Message, frozen=True, kw_only=True):
    """What an owner's texts have grown by; `jobs` are those in work."""

    service: ServiceId
    jobs: list[JobId]
    parts: list[TextPart]


class TextCopied(Message, frozen=True, kw_only=True):
    """The copy was taken in."""


class _Told(msgspec.Struct):
    """How far a peer knows a text."""

    text: Text
    events: int


class TextCopies:
    """The copies that this instance keeps for others, and sends."""

    def __init__(self, bus: Bus) -> None:
        self._bus = bus
        self._kept: dict[ServiceId, dict[JobId, dict[ItemId, Text]]] = {}
        self._told: dict[InstanceId, dict[tuple[JobId, ItemId], _Told]] = {}
        bus.register(TextCopy, self._on_copy)

    def send(
        self,
        service: ServiceId,
        works: list[JobWork],
        peers: Iterable[InstanceId],
    ) -> None:
        """Tell peers what was made since they were told last."""
        for peer in peers:
            told = self._told.get(peer, {})
            grown = _choose_grown(works, told)
            copy = TextCopy(
                service=service,
                jobs=[work.job.id for work in works],
                parts=[part for _, part in grown],
            )
            # Counted before the answer, during which the texts grow on.
            counts = {
                (part.job, part.item): _Told(
                    progress.text, len(progress.text.events)
                )
                for progress, part in grown
            }
            try:
                self._bus.request(peer, copy, TextCopied, REPLY_SECONDS)
            except LinkError as error:
                _LOGGER.debug('%s took no copy: %s', peer, error)
                self._told.pop(peer, None)
            else:
                open_jobs = set(copy.jobs)
                kept = {
                    key: each
                    for key, each in told.items()
                    if key[0] in open_jobs
                }
                self._told[peer] = {**kept, **counts}

    def bring(self, work: JobWork) -> None:
        """Give a job that is taken over the texts that were copied here."""
        kept = self._kept.get(work.job.service, {}).pop(work.job.id, {})
        for item, text in kept.items():
            progress = work.items.get(item)
            if progress is None or progress.done:
                continue
            longer = text.last > progress.text.last
            if longer and text.fits(work.job.min_version, None):
                progress.text = text

    def _on_copy(self, _: InstanceId, message: Message) -> TextCopied:
        copy = expect(message, TextCopy)
        jobs = self._kept.get(copy.service, {})
        kept = {job: jobs.get(job, {}) for job in copy.jobs}
        self._kept[copy.service] = kept
        for part in copy.parts:
            texts = kept.get(part.job)
            if texts is not None:
                _take_part(texts, part)
        return TextCopied()


def _choose_grown(
    works: list[JobWork], told: dict[tuple[JobId, ItemId], _Told]
) -> list[tuple[Progress, TextPart]]:
    """Return what a peer lacks of texts that are not listed yet."""
    grown = [
        (progress, part)
        for work in works
        for progress in work.items.values()
        if progress.item.id not in work.log.listed
        and (part := _cut_part(work.job.id, progress, told)).events
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
    job: JobId,
    progress: Progress,
    told: dict[tuple[JobId, ItemId], _Told],
) -> TextPart:
    """Return what a peer lacks of a text; one made anew it lacks whole."""
    known = told.get((job, progress.item.id))
    text = progress.text
    same = known is not None and known.text is text
    before = known.events if known is not None and same else 0
    return TextPart(
        job,
        progress.item.id,
        before,
        text.events[before:],
        list(text.versions),
    )


def _take_part(texts: dict[ItemId, Text], part: TextPart) -> None:
    """Put a part behind what is here; behind a gap it is of no use."""
    held = texts.get(part.item, Text())
    if part.after > len(held.events):
        texts.pop(part.item, None)
        return
    events = [*held.events[: part.after], *part.events]
    texts[part.item] = Text(events, list(part.versions), len(events))
