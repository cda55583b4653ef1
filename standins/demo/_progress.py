"""Follows the history while it is recorded."""

from collections import Counter
from pathlib import Path
from typing import Final

import msgspec

_SHOWN: Final = {
    'SentRequest': 'sent',
    'Received': 'answered',
    'ReceivedRefusal': 'refused',
    'BrokeOff': 'broken off',
    'StepDone': 'steps',
    'PublishedVersion': 'versions',
}


class _Tag(msgspec.Struct):
    """The part of an event that is counted."""

    event: str
    samples: list[msgspec.Raw] = []


class Progress:
    """Counts events by reading what has been added to the files.

    Parameters
    ----------
    folder
        The history's.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._places: dict[Path, int] = {}
        self._decoder = msgspec.json.Decoder(_Tag)
        self.counts: Counter[str] = Counter()

    def read(self) -> str:
        """Return a line with the counts up to now."""
        for path in self._folder.glob('*.jsonl'):
            self._read_file(path)
        shown = [f'{text} {self.counts[name]}' for name, text in _SHOWN.items()]
        return ', '.join([*shown, f'samples {self.counts["sample"]}'])

    def _read_file(self, path: Path) -> None:
        """Count the whole lines that were added to one file."""
        with path.open('rb') as lines:
            lines.seek(self._places.get(path, 0))
            added = lines.read().rpartition(b'\n')[0]
        if not added:
            return
        self._places[path] = self._places.get(path, 0) + len(added) + 1
        for line in added.split(b'\n'):
            tag = self._decoder.decode(line)
            self.counts[tag.event] += 1
            self.counts['sample'] += len(tag.samples)
