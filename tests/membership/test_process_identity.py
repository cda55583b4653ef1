"""Several processes under one id: exactly one of them works."""

import pytest

from guavagate.models import InstanceId
from tests.membership.network import Network, make_network

SEEDS = range(5)


@pytest.mark.parametrize('offset', [0, -60, 60])
def test_a_replaced_process_stops_claiming_its_id(offset: float) -> None:
    """A paused process is replaced under its id at another address.

    When it resumes, both processes claim the id. The later one must stay in
    use, and the earlier one must stop sending instead of overruling it,
    whatever the time of day at the other machine is.
    """
    network = make_network(5)
    network.pause('i002')
    network.run(5)
    network.start('new', clock_offset=offset, instance='i002')
    network.run(10)
    assert _find_address(network, 'i002') == {'new'}
    network.resume('i002')
    network.run(10)
    assert network.detectors['i002'].identity.superseded
    assert not network.detectors['new'].identity.superseded
    assert _find_address(network, 'i002') == {'new'}
    assert not network.detectors['i002'].on_tick(network.now + 0.1)


@pytest.mark.parametrize('offset', [0, -60])
def test_a_process_that_replaces_one_not_yet_missed_takes_its_id(
    offset: float,
) -> None:
    """The others still take the paused process for alive."""
    network = make_network(5)
    network.pause('i002')
    network.run(0.2)
    network.start('new', network.detectors, offset, instance='i002')
    network.run(5)
    assert not network.detectors['new'].identity.superseded
    assert _find_address(network, 'i002') == {'new'}


def _find_address(network: Network, instance: str) -> set[str]:
    """Return the addresses that other instances have of an instance."""
    return {
        detector.table.members[InstanceId(instance)].contact.peer_address
        for detector in network.detectors.values()
        if detector.identity.me.id != instance
    }


@pytest.mark.parametrize('seed', SEEDS)
@pytest.mark.parametrize('offset', [-0.5, -2, -3600])
def test_a_process_that_starts_with_its_clock_back_is_not_superseded(
    offset: float, seed: int
) -> None:
    """It is killed twice within two seconds, and its clock is set back.

    Others know the former process with a later time of start. The new one took
    itself for superseded for ever, and then owned all jobs in its own eyes.
    """
    network = make_network(6, seed)
    network.kill('i002')
    network.run(0.8)
    network.start('i002')
    network.run(1)
    network.kill('i002')
    network.run(0.6)
    network.start('i002', clock_offset=offset)
    network.run(10, network.agree)
    network.run(5)
    assert network.agree()
    assert not network.detectors['i002'].identity.superseded
    boot = network.detectors['i002'].identity.boot
    for viewer in network.detectors.keys() - {'i002'}:
        members = network.detectors[viewer].table.members
        assert members[InstanceId('i002')].contact.boot == boot


@pytest.mark.parametrize('seed', SEEDS)
def test_all_processes_that_start_with_clocks_apart_agree(seed: int) -> None:
    """All instances are restarted at once, and no two clocks agree."""
    network = make_network(6, seed)
    offsets = [2, -2, 60, -60, 0, -3600]
    for name, offset in zip(list(network.detectors), offsets, strict=True):
        network.start(name, network.detectors, clock_offset=offset)
    network.run(15, network.agree)
    network.run(10)
    assert network.agree()
    working = network.detectors.values()
    assert not any(each.identity.superseded for each in working)


@pytest.mark.parametrize('seed', SEEDS)
def test_one_of_two_processes_that_start_under_one_id_stops(seed: int) -> None:
    """They start at the same moment at two addresses."""
    network = make_network(5, seed)
    network.start('one', network.detectors, instance='i009')
    network.start('two', network.detectors, instance='i009')
    network.run(30)
    stopped = [
        network.detectors[name].identity.superseded for name in ('one', 'two')
    ]
    assert sorted(stopped) == [False, True]
    assert _find_address(network, 'i009') == {'two' if stopped[0] else 'one'}
    assert network.agree()


def test_a_superseded_process_works_again_once_the_other_is_lost() -> None:
    """It would stay out of use for ever, though no other one has its id."""
    network = make_network(5)
    network.pause('i002')
    network.run(5)
    network.start('new', instance='i002')
    network.run(10)
    network.resume('i002')
    network.run(5)
    assert network.detectors['i002'].identity.superseded
    network.kill('new')
    for detector in network.detectors.values():
        detector.joiner.add_candidates({InstanceId('i002'): 'i002'})
    identity = network.detectors['i002'].identity
    network.run(20, lambda: not identity.superseded)
    assert not identity.superseded
    network.run(5)
    assert network.agree()
    assert _find_address(network, 'i002') == {'i002'}
