"""How new what is held is, by clocks that differ, drift and stand still."""

import math

import pytest

from guavagate.feeds import Proof


class _Machines:
    """A relay and a follower; their boot clocks start far apart."""

    def __init__(self) -> None:
        self.true = float(0)
        self.rate = 1.0
        self.proof = Proof(self.read_here)

    def read_here(self) -> float:
        """Return the follower's boot clock."""
        return 5000 + self.true

    def read_there(self) -> float:
        """Return the relay's boot clock."""
        return 70 + self.true * self.rate

    def compare(self, way: float = 0.001, back: float = 0.001) -> None:
        """Ask the relay for its clock; `way` and `back` in seconds."""
        asked_at = self.read_here()
        self.true += way
        clock = self.read_there()
        self.true += back
        self.proof.record_clock(1, asked_at, clock)


def test_without_a_proof_it_is_infinitely_old() -> None:
    """An instance that has just started honours no key."""
    assert Proof(float).age() == math.inf


def test_a_relays_proof_is_never_taken_for_newer_than_it_is() -> None:
    """Its answer about the clock may have been long on the way."""
    for way, back in ((0.001, 0.001), (0.5, 0.001), (0.001, 0.5)):
        held = _Machines()
        held.compare(way, back)
        proved_at, true_then = held.read_there(), held.true
        held.true += 1
        held.proof.record_relayed(1, proved_at, held.read_there())
        truly = held.true - true_then
        assert truly - 1e-9 <= held.proof.age() <= truly + way + back


def test_news_that_lay_in_a_socket_of_a_suspended_process_is_old() -> None:
    """It wakes and reads what the relay sent before; the beat says `now`."""
    held = _Machines()
    held.compare()
    proved_at, sent_at = held.read_there(), held.read_there()
    held.true += 30
    held.proof.record_relayed(1, proved_at, sent_at)
    assert held.proof.age() >= 30


def test_a_relay_whose_clock_was_never_compared_proves_nothing() -> None:
    """Also one that has started again: its clock is another one."""
    held = _Machines()
    held.compare()
    held.proof.record_relayed(2, held.read_there(), held.read_there())
    assert held.proof.age() == math.inf


def test_clocks_drift_apart_and_the_proof_does_not_get_younger() -> None:
    """The relay's runs too fast by a second in twenty minutes."""
    held = _Machines()
    held.compare()
    held.rate = 1 + 1 / 1200
    held.true += 2400
    held.proof.record_relayed(1, held.read_there(), held.read_there())
    assert held.proof.age() == pytest.approx(0, abs=0.01)
    held.true += 3
    assert held.proof.age() == pytest.approx(3, abs=0.02)


def test_older_news_does_not_replace_newer() -> None:
    """Two relays tell; the one that is cut off tells old proofs."""
    held = _Machines()
    held.proof.record_own(held.read_here())
    held.proof.record_own(held.read_here() - 3)
    assert held.proof.age() == 0


def test_a_configuration_that_can_not_be_read_leaves_no_proof() -> None:
    """The one in force is an older one, however new the news is."""
    held = _Machines()
    held.proof.record_own(held.read_here())
    held.proof.invalidate()
    assert held.proof.age() == math.inf
    held.proof.restore()
    assert held.proof.age() == 0
