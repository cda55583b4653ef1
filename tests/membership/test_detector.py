"""Tests of the failure detector in virtual time."""

import pytest

from guavagate.membership._detector import Detector
from guavagate.membership._packet import MemberState, Update
from guavagate.models import InstanceId
from tests.membership.network import Network, make_network

SEEDS = range(5)


def held(network: Network, state: MemberState) -> list[str]:
    """Return who is held to be in a state by anyone."""
    return [
        f'{instance} by {viewer}'
        for viewer, detector in network.detectors.items()
        for instance, member in detector.table.members.items()
        if member.state is state
    ]


@pytest.mark.parametrize('seed', SEEDS)
def test_a_dead_instance_is_out_of_use_in_three_seconds(seed: int) -> None:
    """One of nine stops without a word; then it is started again.

    Callers' requests go to it until it is suspected, probed through others
    and buried. Its successor under the same id is in use within a second
    or two, as another process, at every instance.
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
    """A process is stopped by the machine and wakes.

    After one second it was never out of use. After longer it was, and when
    it wakes its socket is full of old datagrams and its timers have run
    out: it must neither take others for dead nor stay dead itself.
    """
    network = make_network(9)
    network.run(5)
    network.pause('i004')
    network.run(seconds)
    dead = network.held('i000', 'i004') is MemberState.DEAD
    assert dead == (seconds > 1)
    network.wake('i004')
    assert network.run(10, network.agree) <= 3.0
    network.run(5, lambda: bool(held(network, MemberState.DEAD)))
    assert not held(network, MemberState.DEAD)


@pytest.mark.parametrize('loss', ['one way', 'both ways', 'slow'])
def test_one_bad_link_kills_nobody(loss: str) -> None:
    """Two instances don't hear each other, or late; all others do.

    Each misses the other's answers, asks three others to probe, and gets
    the answer through them: nobody is taken out of use or even suspected,
    which would be spread to the whole fleet, again and again.
    """
    network = make_network(9)

    def delay(source: str, target: str) -> float | None:
        if (source, target) == ('i001', 'i002') or (
            loss != 'one way' and (source, target) == ('i002', 'i001')
        ):
            return 0.6 if loss == 'slow' else None
        return 0.001

    network.delay = delay
    network.run(60, lambda: bool(held(network, MemberState.SUSPECT)))
    assert not held(network, MemberState.SUSPECT)
    assert network.agree()


def test_an_instance_that_hears_nobody_kills_nobody() -> None:
    """All that is sent to one instance is lost; what it sends arrives.

    It takes everyone for dead after a while and says so to everyone. Were
    its word taken, healthy instances would drop each other. They probe and
    refute instead; only the one that can't be reached is out of use. When
    the network is back, so is it.
    """
    network = make_network(9)
    network.delay = lambda source, target: None if target == 'i001' else 0.001
    others = network.detectors.keys() - {'i001'}

    def healthy() -> bool:
        return all(network.usable(each) >= others - {each} for each in others)

    network.run(30, lambda: not healthy())
    assert healthy()
    assert network.held('i000', 'i001') is MemberState.DEAD
    network.delay = lambda source, target: 0.001
    assert network.run(30, network.agree) <= 10


def test_a_claim_of_death_is_not_taken_on_trust() -> None:
    """One instance says that a healthy one is dead; others ask it first."""
    network = make_network(9)
    claim = network.detectors['i000'].table.describe(InstanceId('i004'))
    lie = Update(
        claim.id, MemberState.DEAD.value, claim.incarnation, InstanceId('i001')
    )
    network.detectors['i002'].take_claims((lie,), network.now)
    assert network.agree()
    network.run(10, lambda: not network.agree())
    assert network.agree()


def test_a_short_silence_is_not_everyones_death() -> None:
    """For four seconds one instance hears nobody, as at a switch's restart.

    Each probe of its own fails, so by its probes all others are dead at
    once. Its view must not collapse to itself and back: every home and
    partition would move twice.
    """
    network = make_network(9)
    network.delay = lambda source, target: None if target == 'i001' else 0.001
    network.run(4)
    assert network.usable('i001') == network.detectors.keys() - {'i001'}


def test_a_paused_accuser_asks_again() -> None:
    """An instance is stopped while it suspects another, which is healthy.

    The refutation comes while it does not run. When it wakes, the time to
    refute is over by its clock: it must not bury the healthy one.
    """
    network = make_network(9)
    network.pause('i005')
    network.run(5, lambda: network.held('i004', 'i005') is MemberState.SUSPECT)
    network.pause('i004')
    network.wake('i005')
    network.run(30)
    network.send('i004', network.detectors['i004'].on_tick(network.now))
    assert network.held('i004', 'i005') is not MemberState.DEAD
    network.wake('i004')
    assert network.run(10, network.agree) <= 3.0


def test_a_suspect_is_told_at_once() -> None:
    """Whoever hears of a suspicion probes the suspect, who refutes.

    Otherwise it learns of it only by its turn in someone's round, when its
    time to refute may be over.
    """
    network = make_network(9)
    held = network.detectors['i000'].table.describe(InstanceId('i004'))
    claim = Update(
        held.id, MemberState.SUSPECT.value, held.incarnation, held.by
    )
    hearer = network.detectors['i002']
    hearer.take_claims((claim,), network.now)
    sends = hearer.on_tick(network.now)
    told = [packet.updates[0].id for each, packet in sends if each == 'i004']
    assert told == ['i004']
    network.send('i002', sends)
    network.run(0.5)
    assert network.held('i002', 'i004') is MemberState.ALIVE


def test_a_quick_restart_is_seen() -> None:
    """A process is restarted before anyone misses it.

    Its number alone would pass for a refutation, and others would go on
    with its former address and hold that it still has its memory.
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
    """A process with duties is killed and starts again before it is missed.

    Others learn by its new boot that what it held is lost, and take its duties
    over. Told to a few at a time, most of eighty hear of it after a second.
    """
    network = make_network(80, seed)
    network.kill('i004')
    network.run(0.6)
    network.start('i004', network.detectors)
    boot = network.detectors['i004'].identity.boot
    others = network.detectors.keys() - {'i004'}

    def is_known() -> bool:
        tables = [network.detectors[each].table for each in others]
        held = [table.members[InstanceId('i004')] for table in tables]
        return all(each.contact.boot == boot for each in held)

    assert network.run(2, is_known) <= 0.5


@pytest.mark.parametrize('seed', SEEDS)
def test_a_restarted_process_that_is_asked_first_learns_of_all(
    seed: int,
) -> None:
    """Others ping it, and the store that lists the instances is away.

    It then has a member and takes itself for joined. Heard of one by one, the
    other eighty take seconds, and meanwhile it takes duties that others hold.
    """
    network = make_network(80, seed)
    network.kill('i004')
    network.run(0.5)
    network.start('i004')
    network.detectors['i004'].joiner.retain(set())
    network.run(5, lambda: bool(network.usable('i004')))
    network.run(1.2)
    assert len(network.usable('i004')) >= 75


def test_the_list_alone_neither_kills_nor_revives() -> None:
    """The lagging list names a dead instance and omits a live one.

    The dead one stays dead as it answers no probe; the live one stays in
    use; one that only the list names joins by answering.
    """
    network = make_network(5)
    listed = {InstanceId(each) for each in ('i000', 'i001', 'i004', 'ghost')}
    network.kill('i004')
    network.run(5, network.agree)
    network.start('i009', listed=['i000'])
    for detector in network.detectors.values():
        detector.joiner.learn({each: each for each in listed})
        detector.joiner.retain(listed)
    network.run(20)
    assert network.agree()


def test_a_zone_goes_at_once_while_another_instance_is_paused() -> None:
    """Three of nine are gone and a fourth is stopped for two seconds.

    Helpers are among the dead, so some indirect probes fail too. The three
    are out of use within four seconds; the paused one is back after it.
    """
    network = make_network(9)
    network.run(5)
    for name in ('i000', 'i003', 'i006'):
        network.kill(name)
    network.pause('i001')
    assert network.run(10, lambda: _gone(network)) <= 3.5
    network.wake('i001')
    assert network.run(10, network.agree) <= 4.0


def _gone(network: Network) -> bool:
    return all(
        not network.usable(viewer) & {'i000', 'i003', 'i006'}
        for viewer in network.detectors.keys() - {'i001'}
    )


def test_two_regions_find_each_other_again() -> None:
    """Nothing passes between two halves for an hour; then it does.

    Each half goes on alone, holding the other dead; as dead members are
    still tried now and then, both are whole again without anyone's help.
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
    """It says so, answers probes meanwhile, and goes with a farewell."""
    network = make_network(9)
    leaver: Detector = network.detectors['i004']
    network.send('i004', leaver.leave(MemberState.LEAVING))

    def out_of_use() -> bool:
        return all(
            'i004' not in network.usable(each) for each in network.detectors
        )

    assert network.run(10, out_of_use) <= 1.5
    network.run(20)
    assert network.held('i000', 'i004') is MemberState.LEAVING
    network.send('i004', leaver.leave(MemberState.DEAD))
    network.kill('i004')
    network.run(1.5)
    assert network.held('i000', 'i004') is MemberState.DEAD


def test_a_leaving_instance_is_not_used_while_suspected() -> None:
    """Its suspicion arrives before its own word that it leaves."""
    network = make_network(5)
    network.detectors['i004'].leave(MemberState.LEAVING)
    said = network.detectors['i004'].identity.describe()
    suspicion = Update(
        said.id, MemberState.SUSPECT.value, said.incarnation, InstanceId('x')
    )
    hearer = network.detectors['i000']
    hearer.take_claims((suspicion, said), network.now)
    assert 'i004' not in network.usable('i000')


def test_the_replaced_process_gives_way() -> None:
    """A paused process is replaced under its id at another address.

    When it wakes, both say that they are the instance. The later one is in
    use; the earlier one falls silent instead of overruling it in turn.
    """
    network = make_network(5)
    network.pause('i002')
    network.run(5)
    old = network.detectors['i002']
    waiting = network.paused.pop('i002')
    network.start('i002')
    network.run(10, network.agree)
    for source, packet in waiting:
        network.send('i002', old.on_message(source, packet, network.now))
    network.send('i002', old.on_tick(network.now))
    claim = network.detectors['i000'].table.describe(InstanceId('i002'))
    old.take_claims((claim,), network.now)
    assert old.identity.superseded
    assert not old.on_tick(network.now + 1)
    network.run(10)
    assert network.agree()


def test_the_cost_of_a_node_does_not_grow() -> None:
    """At rest a node of 32 sends as many datagrams as one of 8."""
    rates = []
    for count in (8, 32):
        network = make_network(count)
        network.run(15)
        before = network.sent
        network.run(10)
        rates.append((network.sent - before) / 10 / count)
    assert rates[1] == pytest.approx(rates[0], rel=0.1)
