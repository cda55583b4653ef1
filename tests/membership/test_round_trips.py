"""Tests of the round trips that probes measure."""

import pytest

from guavagate.models import InstanceId
from tests.membership.network import Network


def test_round_trips_are_those_of_answered_probes() -> None:
    """A busy or dead member must not change what is known of the network."""
    network = Network('abc')
    far = {'a', 'c'}
    network.delay = lambda *ends: 0.02 if far == set(ends) else 0.003
    network.run(20)
    detector = network.detectors['a']
    measured = detector.measure_round_trips()
    assert measured == {'b': pytest.approx(0.006), 'c': pytest.approx(0.04)}
    network.delay = lambda *ends: 0.1
    network.run(1)
    assert 0.006 < detector.measure_round_trips()[InstanceId('b')] < 0.1
    network.kill('b')
    network.run(5)
    assert InstanceId('c') in detector.measure_round_trips()
