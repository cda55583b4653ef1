"""Tests of a proof's age when clocks differ, drift and machines suspend."""

import math

import pytest

from guavagate.feeds import Proof


class _Machines:
    """A relay and a follower; their boot clocks start far apart."""

    def __init__(self) -> None:
        self.true_time = float(0)
        self.rate = 1.0
        self.proof = Proof(self.read_here)

    def read_here(self) -> float:
        """Return the follower's boot clock."""
        return 5000 + self.true_time

    def read_there(self) -> float:
        """Return the relay's boot clock."""
        return 70 + self.true_time * self.rate

    def compare_clocks(self, way: float = 0.001, back: float = 0.001) -> None:
        """Read the relay's clock; `way` and `back` are delays in seconds."""
        requested_at = self.read_here()
        self.true_time += way
        clock = self.read_there()
        self.true_time += back
        self.proof.record_clock(1, requested_at, clock)


def test_the_age_is_infinite_without_a_proof() -> None:
    """An instance that has just started accepts no key."""
    assert Proof(float).age() == math.inf


def test_a_relays_proof_never_seems_newer_than_it_is() -> None:
    """The relay's reply with its clock may be delayed either way."""
    for way, back in ((0.001, 0.001), (0.5, 0.001), (0.001, 0.5)):
        machines = _Machines()
        machines.compare_clocks(way, back)
        proved_at, proved_time = machines.read_there(), machines.true_time
        machines.true_time += 1
        machines.proof.record_relayed(1, proved_at, machines.read_there())
        true_age = machines.true_time - proved_time
        assert true_age - 1e-9 <= machines.proof.age() <= true_age + way + back


def test_a_message_in_the_socket_of_a_suspended_process_is_old() -> None:
    """After it resumes, the process reads a heartbeat that was sent before."""
    machines = _Machines()
    machines.compare_clocks()
    proved_at, sent_at = machines.read_there(), machines.read_there()
    machines.true_time += 30
    machines.proof.record_relayed(1, proved_at, sent_at)
    assert machines.proof.age() >= 30


def test_a_relay_whose_clock_was_never_compared_proves_nothing() -> None:
    """After its restart a relay has another clock, not compared yet."""
    machines = _Machines()
    machines.compare_clocks()
    machines.proof.record_relayed(
        2, machines.read_there(), machines.read_there()
    )
    assert machines.proof.age() == math.inf


def test_the_proof_gets_no_younger_when_clocks_drift_apart() -> None:
    """The relay's clock gains a second in twenty minutes."""
    machines = _Machines()
    machines.compare_clocks()
    machines.rate = 1 + 1 / 1200
    machines.true_time += 2400
    machines.proof.record_relayed(
        1, machines.read_there(), machines.read_there()
    )
    assert machines.proof.age() == pytest.approx(0, abs=0.01)
    machines.true_time += 3
    assert machines.proof.age() == pytest.approx(3, abs=0.02)


def test_an_older_proof_does_not_replace_a_newer_one() -> None:
    """A proof that is three seconds older arrives after the newer one."""
    machines = _Machines()
    machines.proof.record_own(machines.read_here())
    machines.proof.record_own(machines.read_here() - 3)
    assert machines.proof.age() == 0


def test_an_unreadable_configuration_leaves_no_proof() -> None:
    """An older configuration stays in force, however new the proof is."""
    machines = _Machines()
    machines.proof.record_own(machines.read_here())
    machines.proof.invalidate()
    assert machines.proof.age() == math.inf
    machines.proof.restore()
    assert machines.proof.age() == 0
