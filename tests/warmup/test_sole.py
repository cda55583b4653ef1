"""The proof that an instance is the only holder of the whole budget."""

from guavagate.measure.fakes import MemoryStore, World
from guavagate.models import InstanceId, ServiceId
from guavagate.rollouts import Lease, Renewals, lease_path
from guavagate.warmup import WINDOW_SECONDS, SoleProof


class _Bench:
    """Two instances that may take the lease of a service."""

    def __init__(self, *, applies: bool = True) -> None:
        self.world = World()
        self.clock = self.world.clock
        self.stores: list[MemoryStore] = []
        self.leases: list[Lease] = []
        self.proofs = [self._make(name, applies) for name in 'ab']
        self.clock.advance(1)

    def _make(self, name: str, applies: bool) -> SoleProof:
        self.world.add(name)
        me = InstanceId(name)
        store = MemoryStore(self.clock, self.world.store, name)
        self.stores.append(store)
        lease = Lease(
            store,
            lease_path(ServiceId('llm')),
            me,
            3.0,
            Renewals(self.world.bus(name), self.clock.now),
            lambda: [each for each in self.world.hosts if each != me],
            self.clock.now,
        )
        self.leases.append(lease)
        return SoleProof(self.clock, lease, lambda: applies)


def test_the_owner_has_the_proof_soon_and_keeps_it() -> None:
    """Without renewals of its own the proof would end when orders do."""
    bench = _Bench()
    first = bench.proofs[0]
    first.start()
    bench.clock.advance(0.5)
    for _ in range(100):
        assert first.is_sole()
        bench.clock.advance(0.1)
    first.stop()
    assert not first.is_sole()


def test_two_instances_never_have_the_proof_within_one_window() -> None:
    """Both take themselves for the owner, and the first is cut off.

    The starts of the first in its last second would count in the window of the
    second one's.
    """
    bench = _Bench()
    first, second = bench.proofs
    first.start()
    bench.clock.advance(2)
    assert first._task is not None
    first._task.kill(block=False)
    second.start()
    last_at = bench.clock.now()
    assert first.is_sole()
    for _ in range(500):
        if second.is_sole():
            break
        if first.is_sole():
            last_at = bench.clock.now()
        bench.clock.advance(0.02)
    assert bench.clock.now() - last_at > WINDOW_SECONDS
    assert second.is_sole()
    assert not first.is_sole()


def test_an_outage_of_the_store_ends_the_proof_in_time() -> None:
    """Another instance that reaches the store could take the lease."""
    bench = _Bench()
    first, second = bench.proofs
    first.start()
    bench.clock.advance(2)
    bench.world.store.outage = True
    bench.clock.advance(3)
    assert not first.is_sole()
    assert not second.is_sole()


def test_a_service_without_a_warm_up_writes_nothing() -> None:
    """Its lease is renewed only while orders are sent, as before."""
    bench = _Bench(applies=False)
    bench.proofs[0].start()
    bench.clock.advance(5)
    assert not bench.leases[0].held


def test_a_holder_whose_lease_was_taken_leaves_it_for_a_while() -> None:
    """Both take themselves for the owner, and both reach the store.

    If each took the lease back at once, neither could send orders.
    """
    bench = _Bench()
    for proof in bench.proofs:
        proof.start()
        bench.clock.advance(2)
    generations = {each.generation for each in bench.leases}
    bench.clock.advance(5)
    assert {each.generation for each in bench.leases} == generations
    assert [each.is_sole() for each in bench.proofs] == [False, True]
