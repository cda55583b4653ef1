"""Texts that another instance generated and that an item resumes from."""

from typing import Final

from guavagate.jobs._models import ItemId
from guavagate.jobs._work import JobWork, Text

# Interrupting a run costs a connection, and reading the text again costs about
# as much time as its sampler needs for two events.
MIN_ADOPTED_EVENTS: Final = 10


def adopt_text(work: JobWork, item: ItemId, text: Text) -> bool:
    """Resume an item from a text if it is usable and longer than its own.

    Returns
    -------
    bool
        Whether the text was adopted.
    """
    progress = work.items.get(item)
    if progress is None or progress.done or progress.text.complete:
        return False
    current = progress.text
    longer = (text.last_number, text.complete) > (
        current.last_number,
        current.complete,
    )
    if longer and text.meets_version_bounds(work.job.min_version, None):
        progress.text = text
        return True
    return False


def is_much_longer(text: Text, current: Text) -> bool:
    """Return whether a replica is worth interrupting a run for."""
    gain = text.last_number - current.last_number
    return gain >= MIN_ADOPTED_EVENTS or (gain >= 0 and text.complete)
