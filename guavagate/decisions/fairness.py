"""Weighted fair queues by kind, team and caller.

Load pattern: one caller sends twenty times its share, or a trainer submits
2,048 samples at once, while others send a little.
Without it: everybody waits behind the largest sender, whose queue decides
all other callers' p99.

Start-time fair queueing: each flow has a start tag that grows by cost divided
by weight as it is served, and the lowest tag is next, so a hot caller waits
for itself. A flow that was idle re-enters at the present virtual time: idle
time earns no credit. Its tag is kept only while it lies ahead of the virtual
time, so memory follows the queued work and not the number of callers' names.
"""

import heapq
import itertools
import math
from collections.abc import Hashable
from typing import Final

from guavagate.decisions._work import Kind, Work

# Interactive callers wait in person; a rollout sample waits for its whole
# step. Eight to one keeps a full pool answering callers at once, while one
# ninth of all slots still goes to samples, so that a step always advances.
KIND_WEIGHTS: Final = {Kind.INTERACTIVE: 8.0, Kind.ROLLOUT: 1.0}

_DUE_SLACK: Final = 64

Path = tuple[Hashable, ...]


class Entry:
    """One queued piece of work."""

    __slots__ = ('cost', 'due', 'key', 'leaf', 'removed', 'urgent', 'work')

    def __init__(self, work: Work, key: float, cost: float, due: float) -> None:
        self.work = work
        self.key = key
        self.cost = cost
        self.due = due
        self.urgent = due
        self.leaf: Flow | None = None
        self.removed = False


class Flow:
    """One level of the tree: all queued work below a team or caller."""

    __slots__ = (
        'backlog',
        'children',
        'entries',
        'held',
        'idle',
        'idle_order',
        'name',
        'order',
        'parent',
        'sequence',
        'start',
        'virtual',
        'weight',
        'weight_active',
    )

    def __init__(
        self, name: Hashable, parent: 'Flow | None', weight: float
    ) -> None:
        self.name = name
        self.parent = parent
        self.weight = weight
        self.start: float = 0
        self.virtual: float = 0
        self.backlog: float = 0
        self.weight_active: float = 0
        self.sequence = 0
        self.held = False
        self.children: dict[Hashable, Flow] = {}
        self.order: list[tuple[float, int, Flow]] = []
        self.entries: list[tuple[float, int, Entry]] = []
        self.idle: dict[Hashable, float] = {}
        self.idle_order: list[tuple[float, int, Hashable]] = []


class FairQueue:
    """Holds queued work and yields it by weighted fair shares."""

    def __init__(self) -> None:
        self._sequence = itertools.count(1)
        self._root = Flow('', None, 1.0)
        self._held: list[Flow] = []
        self._urgent: list[tuple[float, int, Entry]] = []
        self._due: list[tuple[float, int, Entry]] = []
        self._size = 0

    def __len__(self) -> int:
        """Return how much work is queued."""
        return self._size

    @property
    def backlog(self) -> float:
        """Return the cost of all queued work."""
        return self._root.backlog

    def flows(self) -> int:
        """Return how many flows are remembered, the idle ones included."""
        return _count(self._root)

    def push(
        self, entry: Entry, path: Path, weights: tuple[float, ...]
    ) -> None:
        """Queue an entry in the flow that its path names."""
        flow = self._root
        for name, weight in zip(path, weights, strict=True):
            child = flow.children.get(name)
            if child is None:
                child = self._open(flow, name, weight)
            flow = child
        entry.leaf = flow
        self._insert(flow, entry)

    def pop_urgent(self, now: float) -> Entry | None:
        """Take work whose place in line has come by its deadline, if any.

        What was let in is a promise. Its flows are charged as always, so the
        others get their shares back afterwards.
        """
        while self._urgent and self._urgent[0][0] <= now:
            entry = heapq.heappop(self._urgent)[2]
            if entry.removed or entry.leaf is None or entry.leaf.held:
                continue
            self._charge(entry.leaf, entry.cost)
            self.remove(entry)
            return entry
        return None

    def pop(self) -> Entry | None:
        """Take the next entry and charge its flows, or return nothing."""
        flow = self._root
        while not flow.entries:
            child = self._first(flow)
            if child is None:
                return None
            flow = child
            self._drop_removed(flow)
        entry = heapq.heappop(flow.entries)[2]
        self._charge(flow, entry.cost)
        self._account(entry, -1)
        entry.removed = True
        self._close_empty(flow)
        return entry

    def put_back(
        self,
        entry: Entry,
        path: Path,
        weights: tuple[float, ...],
        *,
        hold: bool,
    ) -> None:
        """Return an entry just taken, without charge.

        A held flow is passed over until `release`.
        """
        self.push(entry, path, weights)
        flow = entry.leaf
        while flow is not None and flow.parent is not None:
            flow.start -= entry.cost / flow.weight
            self._reorder(flow)
            flow = flow.parent
        if hold:
            self._hold(entry.leaf)

    def first_due(self, now: float) -> Entry | None:
        """Return queued work that must have started before now, if any."""
        while self._due and self._due[0][0] < now:
            entry = self._due[0][2]
            if not entry.removed:
                return entry
            heapq.heappop(self._due)
        return None

    def release(self) -> None:
        """Let held flows take part again."""
        for flow in self._held:
            flow.held = False
            if flow.entries and flow.parent is not None:
                self._reorder(flow)
                self._lift(flow.parent)
        self._held.clear()

    def remove(self, entry: Entry) -> None:
        """Take an entry out without serving it."""
        if entry.removed:
            return
        entry.removed = True
        self._account(entry, -1)
        leaf = entry.leaf
        if leaf is not None:
            self._drop_removed(leaf)
            self._close_empty(leaf)

    def cost_ahead(
        self,
        path: Path,
        weights: tuple[float, ...],
        cost: float,
    ) -> float:
        """Return the queued cost that a new entry would wait for.

        Under fair shares a flow waits for its own backlog, stretched by the
        weights of all others that have any. That may be more than all that is
        queued now: others' work to come has its share before it, too.
        """
        flow: Flow | None = self._root
        stretch: float = 1
        own: float = 0
        for name, weight in zip(path, weights, strict=True):
            if flow is None:
                break
            child = flow.children.get(name)
            active = flow.weight_active + (0 if child else weight)
            stretch *= active / weight
            own = child.backlog if child else 0
            flow = child
        return (own + cost) * stretch if self._size else 0

    def _open(self, parent: Flow, name: Hashable, weight: float) -> Flow:
        flow = Flow(name, parent, max(weight, 1e-6))
        flow.start = max(parent.virtual, parent.idle.pop(name, 0))
        parent.children[name] = flow
        parent.weight_active += flow.weight
        self._reorder(flow)
        return flow

    def _insert(self, leaf: Flow, entry: Entry) -> None:
        entry.removed = False
        number = next(self._sequence)
        heapq.heappush(leaf.entries, (entry.key, number, entry))
        if entry.due < math.inf:
            heapq.heappush(self._due, (entry.due, number, entry))
            heapq.heappush(self._urgent, (entry.urgent, number, entry))
        # Entries taken out stay in the heap until due; rebuild it when they
        # are most of it, or a long deadline would keep every answer's entry.
        if len(self._due) > 2 * self._size + _DUE_SLACK:
            self._due = [due for due in self._due if not due[2].removed]
            heapq.heapify(self._due)
            self._urgent = [
                item for item in self._urgent if not item[2].removed
            ]
            heapq.heapify(self._urgent)
        self._account(entry, 1)

    def _account(self, entry: Entry, sign: int) -> None:
        self._size += sign
        change = sign * entry.cost
        flow = entry.leaf
        while flow is not None:
            flow.backlog += change
            flow = flow.parent

    def _charge(self, leaf: Flow, cost: float) -> None:
        flow = leaf
        while flow.parent is not None:
            flow.parent.virtual = max(flow.parent.virtual, flow.start)
            flow.start += cost / flow.weight
            self._reorder(flow)
            flow = flow.parent

    def _first(self, flow: Flow) -> Flow | None:
        order = flow.order
        while order:
            _, sequence, child = order[0]
            if sequence == child.sequence and not child.held:
                return child
            heapq.heappop(order)
        return None

    def _reorder(self, flow: Flow) -> None:
        if flow.parent is None:
            return
        flow.sequence = next(self._sequence)
        heapq.heappush(flow.parent.order, (flow.start, flow.sequence, flow))

    def _hold(self, flow: Flow | None) -> None:
        while flow is not None and flow.parent is not None:
            flow.held = True
            self._held.append(flow)
            flow = flow.parent
            if self._first(flow) is not None:
                return

    def _lift(self, flow: Flow) -> None:
        while flow.parent is not None:
            flow.held = False
            self._reorder(flow)
            flow = flow.parent

    def _drop_removed(self, flow: Flow) -> None:
        while flow.entries and flow.entries[0][2].removed:
            heapq.heappop(flow.entries)

    def _close_empty(self, flow: Flow) -> None:
        self._drop_removed(flow)
        while flow.parent is not None and not (flow.entries or flow.children):
            parent = flow.parent
            parent.children.pop(flow.name, None)
            parent.weight_active -= flow.weight
            flow.sequence = 0
            self._remember(parent, flow)
            flow = parent

    def _remember(self, parent: Flow, flow: Flow) -> None:
        if not parent.children:
            # The end of a busy period: nobody is owed anything.
            parent.idle.clear()
            parent.idle_order.clear()
            parent.order.clear()
            return
        if flow.start > parent.virtual:
            parent.idle[flow.name] = flow.start
            item = (flow.start, next(self._sequence), flow.name)
            heapq.heappush(parent.idle_order, item)
        while parent.idle_order and parent.idle_order[0][0] <= parent.virtual:
            start, _, name = heapq.heappop(parent.idle_order)
            if parent.idle.get(name) == start:
                parent.idle.pop(name)


def _count(flow: Flow) -> int:
    below = sum(_count(child) for child in flow.children.values())
    return below + len(flow.children) + len(flow.idle)
