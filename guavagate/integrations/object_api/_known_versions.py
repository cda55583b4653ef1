"""The newest versions seen, so that an old copy is never believed.

Failure: behind the platform's balancer one copy lags or was restored from a
backup. An instance that takes its answer goes back to settings or a view that
have been replaced, and acts on them. The revision never goes down here.
"""

from typing import Final

from cachetools import LRUCache

from guavagate.models import Revision

_MAX_PATHS: Final = 20_000
_UNKNOWN: Final = (Revision(0), False)


class KnownVersions:
    """The newest version of each path, and of the whole store."""

    def __init__(self) -> None:
        self._versions: LRUCache[str, tuple[Revision, bool]] = LRUCache(
            _MAX_PATHS
        )
        self._newest = Revision(0)

    def is_old(self, path: str, version: Revision) -> bool:
        """Return whether an object's version is behind what was seen."""
        return version < self._get(path)[0]

    def is_old_list(self, revision: Revision) -> bool:
        """Return whether a list is behind what was seen."""
        return revision < self._newest

    def is_present(self, path: str) -> bool:
        """Return whether the object was seen, and not seen deleted."""
        return self._get(path)[1]

    def record(
        self, path: str, version: Revision, *, present: bool = True
    ) -> None:
        """Remember an object's version, or that of its deletion."""
        if not self.is_old(path, version):
            self._versions[path] = (version, present)
        self.record_revision(version)

    def record_revision(self, revision: Revision) -> None:
        """Remember a revision of the store."""
        self._newest = max(self._newest, revision)

    def _get(self, path: str) -> tuple[Revision, bool]:
        return self._versions.get(path, _UNKNOWN)
