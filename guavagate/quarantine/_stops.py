"""The requests that are stopped, as this instance knows them."""

from collections.abc import Iterator

from guavagate.quarantine._identity import RequestContent, RequestIdentity
from guavagate.quarantine._records import StoppedRequest


class StopTable:
    """Records of stopped requests, by name and by content."""

    def __init__(self) -> None:
        self._records: dict[str, StoppedRequest] = {}
        self._by_content: dict[str, list[StoppedRequest]] = {}
        self._paths: set[str] = set()

    def __contains__(self, name: str) -> bool:
        """Return whether there is a record of this name."""
        return name in self._records

    def __iter__(self) -> Iterator[StoppedRequest]:
        """Iterate over the records as they are now."""
        return iter(list(self._records.values()))

    def __len__(self) -> int:
        """Return the number of records."""
        return len(self._records)

    def add(self, record: StoppedRequest) -> None:
        """Add or replace a record."""
        self._records[record.name] = record
        self._index()

    def pop(self, name: str) -> StoppedRequest | None:
        """Remove and return a record, or return `None`."""
        record = self._records.pop(name, None)
        self._index()
        return record

    def find(self, content: RequestContent) -> StoppedRequest | None:
        """Return the record of a request, or `None`.

        A body is hashed only for a path of which some request is stopped.
        """
        if not self._paths or content.digest_path() not in self._paths:
            return None
        return self.find_identity(content.identify())

    def find_identity(self, identity: RequestIdentity) -> StoppedRequest | None:
        """Return the record of a request, or `None`."""
        for record in self._by_content.get(identity.content, ()):
            if record.identity.covers(identity):
                return record
        return None

    def _index(self) -> None:
        self._by_content = {}
        for record in self._records.values():
            same = self._by_content.setdefault(record.identity.content, [])
            same.append(record)
        self._paths = {each.identity.path for each in self._records.values()}
