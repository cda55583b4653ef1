"""The newest versions read or written, to detect stale answers.

Failure: behind the platform's balancer, a replica lags or was restored from a
backup. An instance that accepts its answers returns to settings or a view that
have been replaced, and acts on them. The versions recorded here never decrease,
so older answers are detected.
"""

from typing import Final

from cachetools import LRUCache

from guavagate.models import Revision

_MAX_PATHS: Final = 20_000
_UNKNOWN: Final = (Revision(0), False)


class KnownVersions:
    """The newest known version of each path and of the store."""

    def __init__(self) -> None:
        self._versions: LRUCache[str, tuple[Revision, bool]] = LRUCache(
            _MAX_PATHS
        )
        self._newest = Revision(0)

    def is_old(self, path: str, version: Revision) -> bool:
        """Return whether an object's version is older than the known one."""
        return version < self._get(path)[0]

    def is_old_list(self, revision: Revision) -> bool:
        """Return whether a list is older than the known revision."""
        return revision < self._newest

    def is_present(self, path: str) -> bool:
        """Return whether the object is known to exist."""
        return self._get(path)[1]

    def record(
        self, path: str, version: Revision, *, present: bool = True
    ) -> None:
        """Record the version of an object or of its deletion."""
        if not self.is_old(path, version):
            self._versions[path] = (version, present)
        self.record_revision(version)

    def record_revision(self, revision: Revision) -> None:
        """Record a revision of the store."""
        self._newest = max(self._newest, revision)

    def _get(self, path: str) -> tuple[Revision, bool]:
        return self._versions.get(path, _UNKNOWN)
