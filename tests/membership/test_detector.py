"""Tests of the failure detector on a simulated network."""

import pytest

from guavagate.membership._detector import Detector
from guavagate.membership._packet import MemberState, Update
from guavagate.models import InstanceId
from tests.membership.network import Network, make_network

SEEDS = range(5)


def list_in_state(network: Network, state: MemberState) -> list[str]:
    """Return each view in which a member is in the given state."""
    return [
        f'{instance} by {viewer}'
        for viewer, detector in network.detectors.items()
        for instance, member in detector.table.members.items()
        if member.state is state
    ]


@pytest.mark.parametrize('seed', SEEDS)
def test_a_dead_instance_is_out_of_use_in_three_seconds(seed: int) -> None:
    """One of nine instances crashes and is started again later.

    Callers' requests go to it until it is suspected, probed through others
    and marked dead. Its successor under the same id must then be in use at
    every instance, known as a new process.
    """
    network = make_network(9, seed)
    network.run(5)
    network.kill('i004')
    assert network.run(10, network.agree) <= 3.0
    network.start('i004')
    assert network.run(10, network.agree) <= 3.0
    boot = network.detectors['i004'].identity.boot
    members = network.detectors['i000'].table.members
    assert members[InstanceId('i004')].contact.boot == boot


@pytest.mark.parametrize('seconds', [1, 10, 60])
def test_a_paused_process_returns_cleanly(seconds: int) -> None:
    """The machine pauses a process and resumes it.

    After one second it must still be in use. After a longer pause it is marked
    dead; when it resumes, its socket is full of old datagrams and its timers
    have expired. It must neither mark others dead nor stay dead itself.
    """
    network = make_network(9)
    network.run(5)
    network.pause('i004')
    network.run(seconds)
    dead = network.state_of('i000', 'i004') is MemberState.DEAD
    assert dead == (seconds > 1)
    network.resume('i004')
    assert network.run(10, network.agree) <= 3.0
    network.run(5, lambda: bool(list_in_state(network, MemberState.DEAD)))
    assert not list_in_state(network, MemberState.DEAD)


@pytest.mark.parametrize('loss', ['one way', 'both ways', 'slow'])
def test_one_bad_link_causes_no_suspicion(loss: str) -> None:
    """The link between two instances loses or delays datagrams.

    Each misses the other's answers, requests indirect probes from three
    others and gets the answer through them. No instance may be suspected:
    the suspicion would be gossiped to the whole fleet again and again.
    """
    network = make_network(9)

    def delay(source: str, target: str) -> float | None:
        if (source, target) == ('i001', 'i002') or (
            loss != 'one way' and (source, target) == ('i002', 'i001')
        ):
            return 0.6 if loss == 'slow' else None
        return 0.001

    network.delay = delay
    network.run(60, lambda: bool(list_in_state(network, MemberState.SUSPECT)))
    assert not list_in_state(network, MemberState.SUSPECT)
    assert network.agree()


def test_an_instance_that_receives_nothing_takes_none_out_of_use() -> None:
    """One instance receives nothing, but its own datagrams arrive.

    After a while it considers all others dead and gossips this. If its claims
    were trusted, healthy instances would drop each other. They probe and
    refute instead, and only the unreachable instance is out of use. Once the
    network recovers, it is in use again.
    """
    network = make_network(9)
    network.delay = lambda source, target: None if target == 'i001' else 0.001
    others = network.detectors.keys() - {'i001'}

    def healthy() -> bool:
        return all(network.usable(each) >= others - {each} for each in others)

    network.run(30, lambda: not healthy())
    assert healthy()
    assert network.state_of('i000', 'i001') is MemberState.DEAD
    network.delay = lambda source, target: 0.001
    assert network.run(30, network.agree) <= 10


def test_a_claim_that_a_member_is_dead_is_verified() -> None:
    """One instance claims that a healthy one is dead; others probe it first."""
    network = make_network(9)
    claim = network.detectors['i000'].table.describe(InstanceId('i004'))
    false_claim = Update(
        claim.id, MemberState.DEAD.value, claim.incarnation, InstanceId('i001')
    )
    network.detectors['i002'].apply_claims((false_claim,), network.now)
    assert network.agree()
    network.run(10, lambda: not network.agree())
    assert network.agree()


def test_a_short_loss_of_all_datagrams_marks_none_dead() -> None:
    """One instance receives nothing for four seconds: a switch restarts.

    All its probes fail, so by its probes all others are dead at once. Its
    view must not shrink to itself and grow back: every queue owner and
    partition would move twice.
    """
    network = make_network(9)
    network.delay = lambda source, target: None if target == 'i001' else 0.001
    network.run(4)
    assert network.usable('i001') == network.detectors.keys() - {'i001'}


def test_a_paused_accuser_restarts_its_suspicion_timer() -> None:
    """An instance is paused while it suspects a healthy one.

    The refutation arrives during the pause. When the accuser resumes, the time
    to refute is over by its clock; it must not mark the healthy one dead.
    """
    network = make_network(9)
    network.pause('i005')
    network.run(
        5, lambda: network.state_of('i004', 'i005') is MemberState.SUSPECT
    )
    network.pause('i004')
    network.resume('i005')
    network.run(30)
    network.send('i004', network.detectors['i004'].on_tick(network.now))
    assert network.state_of('i004', 'i005') is not MemberState.DEAD
    network.resume('i004')
    assert network.run(10, network.agree) <= 3.0


def test_a_suspect_is_probed_at_once() -> None:
    """An instance that learns of a suspicion probes the suspect, who refutes.

    Otherwise the suspect learns of it only at its turn in a probe round, when
    its time to refute may be over.
    """
    network = make_network(9)
    known = network.detectors['i000'].table.describe(InstanceId('i004'))
    claim = Update(
        known.id, MemberState.SUSPECT.value, known.incarnation, known.by
    )
    receiver = network.detectors['i002']
    receiver.apply_claims((claim,), network.now)
    sends = receiver.on_tick(network.now)
    claimed = [packet.updates[0].id for each, packet in sends if each == 'i004']
    assert claimed == ['i004']
    network.send('i002', sends)
    network.run(0.5)
    assert network.state_of('i002', 'i004') is MemberState.ALIVE


def test_a_quick_restart_is_seen() -> None:
    """A process restarts before any member notices its absence.

    Its higher incarnation alone would look like a refutation. Others would
    keep its former address and assume that it still has its state.
    """
    network = make_network(5)
    network.start('i002')
    boot = network.detectors['i002'].identity.boot
    network.run(3)
    for viewer in network.detectors.keys() - {'i002'}:
        members = network.detectors[viewer].table.members
        assert members[InstanceId('i002')].contact.boot == boot


@pytest.mark.parametrize('seed', SEEDS)
def test_a_restart_is_known_to_all_at_once(seed: int) -> None:
    """A process with duties restarts before any member notices its absence.

    Its new boot tells the others that its state is lost, and they take over
    its duties. If it announced itself to a few at a time, most of eighty
    members would know only after a second.
    """
    network = make_network(80, seed)
    network.kill('i004')
    network.run(0.6)
    network.start('i004', network.detectors)
    boot = network.detectors['i004'].identity.boot
    others = network.detectors.keys() - {'i004'}

    def is_known() -> bool:
        tables = [network.detectors[each].table for each in others]
        views = [table.members[InstanceId('i004')] for table in tables]
        return all(each.contact.boot == boot for each in views)

    assert network.run(2, is_known) <= 0.5


@pytest.mark.parametrize('seed', SEEDS)
def test_a_restarted_process_that_is_pinged_first_syncs_its_table(
    seed: int,
) -> None:
    """Others ping a restarted process while the store is unavailable.

    It then has a member and could consider itself joined. Without the sync it
    would learn of the other eighty one by one, which takes seconds, and
    meanwhile take duties that others have.
    """
    network = make_network(80, seed)
    network.kill('i004')
    network.run(0.5)
    network.start('i004')
    network.detectors['i004'].joiner.retain_candidates(set())
    network.run(5, lambda: bool(network.usable('i004')))
    network.run(1.2)
    assert len(network.usable('i004')) >= 75


def test_the_list_alone_neither_adds_nor_removes_members() -> None:
    """The platform's list lags: it has a dead instance and omits a live one.

    The dead one stays dead because it answers no probe, and the live one
    stays in use. An instance that is only listed joins by answering.
    """
    network = make_network(5)
    listed = {InstanceId(each) for each in ('i000', 'i001', 'i004', 'ghost')}
    network.kill('i004')
    network.run(5, network.agree)
    network.start('i009', listed=['i000'])
    for detector in network.detectors.values():
        detector.joiner.add_candidates({each: each for each in listed})
        detector.joiner.retain_candidates(listed)
    network.run(20)
    assert network.agree()


def test_a_zone_fails_while_another_instance_is_paused() -> None:
    """Three of nine instances crash, and a fourth is paused meanwhile.

    Some indirect probers are among the dead, so indirect probes fail too. The
    three must still be out of use in time, and the paused one must return
    to use once it resumes.
    """
    network = make_network(9)
    network.run(5)
    for name in ('i000', 'i003', 'i006'):
        network.kill(name)
    network.pause('i001')
    assert network.run(10, lambda: _is_zone_unused(network)) <= 3.5
    network.resume('i001')
    assert network.run(10, network.agree) <= 4.0


def _is_zone_unused(network: Network) -> bool:
    return all(
        not network.usable(viewer) & {'i000', 'i003', 'i006'}
        for viewer in network.detectors.keys() - {'i001'}
    )


def test_two_regions_rejoin_after_a_partition() -> None:
    """The network between two halves of the fleet fails and recovers.

    Each half continues alone and considers the other dead. Because dead
    members are still probed from time to time, the halves rejoin without
    an operator.
    """
    network = make_network(6)
    left = {'i000', 'i001', 'i002'}
    network.delay = lambda source, target: (
        0.001 if (source in left) == (target in left) else None
    )
    network.run(60)
    assert network.usable('i000') == left - {'i000'}
    network.delay = lambda source, target: 0.001
    assert network.run(30, network.agree) <= 15


def test_a_leaving_instance_gets_no_new_work() -> None:
    """An instance announces that it leaves, still answers probes, and stops."""
    network = make_network(9)
    leaver: Detector = network.detectors['i004']
    network.send('i004', leaver.leave(MemberState.LEAVING))

    def out_of_use() -> bool:
        return all(
            'i004' not in network.usable(each) for each in network.detectors
        )

    assert network.run(10, out_of_use) <= 1.5
    network.run(20)
    assert network.state_of('i000', 'i004') is MemberState.LEAVING
    network.send('i004', leaver.leave(MemberState.DEAD))
    network.kill('i004')
    network.run(1.5)
    assert network.state_of('i000', 'i004') is MemberState.DEAD


def test_a_leaving_instance_is_not_used_while_suspected() -> None:
    """Its suspicion arrives before its own claim that it leaves."""
    network = make_network(5)
    network.detectors['i004'].leave(MemberState.LEAVING)
    leaving = network.detectors['i004'].identity.describe()
    suspicion = Update(
        leaving.id,
        MemberState.SUSPECT.value,
        leaving.incarnation,
        InstanceId('x'),
    )
    receiver = network.detectors['i000']
    receiver.apply_claims((suspicion, leaving), network.now)
    assert 'i004' not in network.usable('i000')


def test_the_cost_per_instance_does_not_grow_with_the_fleet() -> None:
    """In a stable fleet of 32 each sends as many datagrams as in one of 8."""
    rates = []
    for count in (8, 32):
        network = make_network(count)
        network.run(15)
        before = network.sent
        network.run(10)
        rates.append((network.sent - before) / 10 / count)
    assert rates[1] == pytest.approx(rates[0], rel=0.1)
