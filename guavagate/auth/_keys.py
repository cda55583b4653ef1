"""Checks callers' keys, which operators may revoke at any time; no network I/O.

Failure pattern: an operator revokes a leaked key while some instances are cut
off from the store, frozen, or follow a relay that is. Each of these still has a
configuration in which the key is valid. So a key is accepted only while the
configuration is proven to have been the newest a short time ago. A key is
reported as unknown only while no newer configuration can contain it. In
between, its state is `KeyState.UNPROVEN`.
"""

import enum
import math
from collections.abc import Iterable, Sequence
from typing import Final

import msgspec

from guavagate.auth._tokens import hash_token, is_same_hash, read_bearer
from guavagate.models import TeamId
from guavagate.ports.configuration import Team

# Share of each promised bound that a proof's age may use. The rest allows for
# clocks of two machines that run at different rates, and for the time between
# the check of the proof and the first byte to an upstream.
SAFETY_FACTOR: Final = 0.9
_NO_TEAM: Final = TeamId('')


class KeyState(enum.Enum):
    """Result of checking a request's key."""

    NOT_NEEDED = 'not needed'
    VALID = 'held'
    MISSING = 'missing'
    UNKNOWN = 'unknown'
    UNPROVEN = 'unproven'


class KeyVerdict(msgspec.Struct, frozen=True):
    """The team of a request, or why it is not determined."""

    state: KeyState
    team: TeamId = _NO_TEAM

    @property
    def allowed(self) -> bool:
        """Return whether the request may run."""
        return self.state in {KeyState.NOT_NEEDED, KeyState.VALID}


class ProofBounds(msgspec.Struct, frozen=True, kw_only=True):
    """Maximum age of the proof that a configuration is the newest; seconds.

    Attributes
    ----------
    deny
        For answering that a key or a route does not exist.
    accept
        For running a request by its key.
    """

    deny: float
    accept: float


def make_bounds(apply: float, revoke: float, *, strict: bool) -> ProofBounds:
    """Return bounds that keep the times promised to operators; seconds.

    Parameters
    ----------
    apply
        Until an accepted configuration is in force everywhere.
    revoke
        Until a revoked key runs nothing more.
    strict
        Whether that holds for instances that are cut off, too.
    """
    return ProofBounds(
        deny=apply * SAFETY_FACTOR,
        accept=revoke * SAFETY_FACTOR if strict else math.inf,
    )


class _KnownKey(msgspec.Struct, frozen=True):
    key_hash: str
    team: TeamId


class KeyRing:
    """Maps keys to teams; stores only hashes of the keys."""

    def __init__(self, teams: Iterable[Team] = ()) -> None:
        self._keys: dict[str, _KnownKey] = {}
        self.needed = False
        for team in teams:
            self.needed = True
            for key_hash in team.key_hashes:
                self._keys.setdefault(key_hash, _KnownKey(key_hash, team.id))

    def find_team(self, key: str) -> TeamId | None:
        """Return the team that the key belongs to, if any.

        The dict lookup isn't constant-time, but its timing tells nothing about
        the key: an attacker can't choose the digits of a hash. The matching
        hash is then compared in constant time.
        """
        key_hash = hash_token(key)
        known = self._keys.get(key_hash)
        if known is not None and is_same_hash(known.key_hash, key_hash):
            return known.team
        return None


def check_key(
    ring: KeyRing,
    authorizations: Sequence[str],
    proof_age: float,
    bounds: ProofBounds,
) -> KeyVerdict:
    """Return the team of a request, or why it is not determined.

    Parameters
    ----------
    authorizations
        The values of all ``Authorization`` headers. Differing values count as
        no key, as it is undefined which of them applies.
    proof_age
        Seconds since the configuration was proven to be the newest.
    """
    if not ring.needed:
        return KeyVerdict(KeyState.NOT_NEEDED)
    values = set(authorizations)
    key = read_bearer(values.pop()) if len(values) == 1 else None
    team = None if key is None else ring.find_team(key)
    if team is not None:
        if proof_age < bounds.accept:
            return KeyVerdict(KeyState.VALID, team)
        return KeyVerdict(KeyState.UNPROVEN)
    if not may_deny(proof_age, bounds):
        return KeyVerdict(KeyState.UNPROVEN)
    return KeyVerdict(KeyState.MISSING if key is None else KeyState.UNKNOWN)


def may_deny(proof_age: float, bounds: ProofBounds) -> bool:
    """Return whether the proof is recent enough to deny a key or a route."""
    return proof_age < bounds.deny
