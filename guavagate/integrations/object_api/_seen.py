"""The newest versions seen, so that an old copy is never believed.

Failure: behind the platform's balancer one copy lags or was restored from a
backup. An instance that takes its answer goes back to settings or a view that
have been replaced, and acts on them. The revision never goes down here.
"""

from typing import Final

from cachetools import LRUCache

from guavagate.models import Revision

_PATHS: Final = 20_000
_NEVER: Final = (Revision(0), False)


class Seen:
    """The newest version of each path, and of the whole store."""

    def __init__(self) -> None:
        self._versions: LRUCache[str, tuple[Revision, bool]] = LRUCache(_PATHS)
        self._newest = Revision(0)

    def is_old(self, path: str, version: Revision) -> bool:
        """Return whether an object's version is behind what was seen."""
        return version < self._get(path)[0]

    def is_old_list(self, revision: Revision) -> bool:
        """Return whether a list is behind what was seen."""
        return revision < self._newest

    def knows(self, path: str) -> bool:
        """Return whether the object was seen, and not seen deleted."""
        return self._get(path)[1]

    def note(
        self, path: str, version: Revision, *, present: bool = True
    ) -> None:
        """Remember an object's version, or that of its deletion."""
        if not self.is_old(path, version):
            self._versions[path] = (version, present)
        self.note_revision(version)

    def note_revision(self, revision: Revision) -> None:
        """Remember a revision of the store."""
        self._newest = max(self._newest, revision)

    def _get(self, path: str) -> tuple[Revision, bool]:
        return self._versions.get(path, _NEVER)
