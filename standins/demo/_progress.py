"""Counts events of the history while it is recorded."""

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


class _EventHeader(msgspec.Struct):
    """The fields of an event that are counted."""

    event: str
    samples: list[msgspec.Raw] = []


class Progress:
    """Counts events by reading the lines added to the history files.

    Parameters
    ----------
    folder
        Folder of the history.
    """

    def __init__(self, folder: Path) -> None:
        self._folder = folder
        self._offsets: dict[Path, int] = {}
        self._decoder = msgspec.json.Decoder(_EventHeader)
        self.counts: Counter[str] = Counter()

    def read(self) -> str:
        """Read new events and return a line with the counts."""
        for path in self._folder.glob('*.jsonl'):
            self._read_file(path)
        shown = [f'{text} {self.counts[name]}' for name, text in _SHOWN.items()]
        return ', '.join([*shown, f'samples {self.counts["sample"]}'])

    def _read_file(self, path: Path) -> None:
        """Count the complete lines that were added to a file."""
        with path.open('rb') as lines:
            lines.seek(self._offsets.get(path, 0))
            added = lines.read().rpartition(b'\n')[0]
        if not added:
            return
        self._offsets[path] = self._offsets.get(path, 0) + len(added) + 1
        for line in added.split(b'\n'):
            header = self._decoder.decode(line)
            self.counts[header.event] += 1
            self.counts['sample'] += len(header.samples)
