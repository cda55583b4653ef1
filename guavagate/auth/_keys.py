"""Who may ask, by keys that may be taken away at any moment; no network.

Failure pattern: an operator takes a leaked key away while some instances are
cut off from the store, frozen, or follow a relay that is. Each of these still
holds a configuration in which the key is good. So a key is honoured only while
the configuration was surely the newest a short time ago, and a caller is only
told that a key is unknown while no newer configuration can know it; in between
the truth is that this instance can not tell.
"""

import enum
import math
from collections.abc import Iterable, Sequence
from typing import Final

import msgspec

from guavagate.auth._tokens import hash_token, is_same_hash, read_bearer
from guavagate.models import TeamId
from guavagate.ports.configuration import Team

# Of a bound on the age of the proof. The rest is for clocks of two machines
# that do not run equally fast, and for what passes between the look at the
# proof and the first byte to an upstream.
SAFETY_FACTOR: Final = 0.9
_NOBODY: Final = TeamId('')


class KeyState(enum.Enum):
    """What is known of a request's key."""

    NOT_NEEDED = 'not needed'
    VALID = 'held'
    MISSING = 'missing'
    UNKNOWN = 'unknown'
    UNPROVEN = 'unproven'


class KeyVerdict(msgspec.Struct, frozen=True):
    """Whose request it is, or why that can not be said."""

    state: KeyState
    team: TeamId = _NOBODY

    @property
    def allowed(self) -> bool:
        """Return whether the request may run."""
        return self.state in {KeyState.NOT_NEEDED, KeyState.VALID}


class ProofBounds(msgspec.Struct, frozen=True, kw_only=True):
    """How old the proof that a configuration is the newest may be; seconds.

    Attributes
    ----------
    deny
        For telling a caller that a key, or a route, is not there.
    accept
        For running a request by its key.
    """

    deny: float
    accept: float


def make_bounds(apply: float, revoke: float, *, strict: bool) -> ProofBounds:
    """Return bounds that keep what operators are promised; seconds.

    Parameters
    ----------
    apply
        Until an accepted configuration is in force everywhere.
    revoke
        Until a key that was taken away runs nothing more.
    strict
        Whether that holds for instances that are cut off, too.
    """
    return ProofBounds(
        deny=apply * SAFETY_FACTOR,
        accept=revoke * SAFETY_FACTOR if strict else math.inf,
    )


class _Held(msgspec.Struct, frozen=True):
    key_hash: str
    team: TeamId


class KeyRing:
    """Which team's a key is; knows hashes only."""

    def __init__(self, teams: Iterable[Team] = ()) -> None:
        self._held: dict[str, _Held] = {}
        self.needed = False
        for team in teams:
            self.needed = True
            for key_hash in team.key_hashes:
                self._held.setdefault(key_hash, _Held(key_hash, team.id))

    def find_team(self, key: str) -> TeamId | None:
        """Return whose key it is, or nothing.

        Hashes are looked up by value, which takes no account of the key: who
        guesses can't choose a hash's digits. The match is then compared in
        constant time.
        """
        wanted = hash_token(key)
        held = self._held.get(wanted)
        if held is not None and is_same_hash(held.key_hash, wanted):
            return held.team
        return None


def check_key(
    ring: KeyRing,
    authorizations: Sequence[str],
    proof_age: float,
    bounds: ProofBounds,
) -> KeyVerdict:
    """Return whose request it is.

    Parameters
    ----------
    authorizations
        The values of all ``Authorization`` headers; more than one is none, as
        nobody can say which of them counts.
    proof_age
        Seconds since the configuration was surely the newest.
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
    """Return whether what is not in the configuration is surely not there."""
    return proof_age < bounds.deny
