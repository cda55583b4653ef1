"""Weighted fair queues by kind, team and caller.

Load pattern: one caller sends twenty times its share, or a trainer submits
2,048 samples at once, while others send a little.

Without fair queues: everyone waits behind the largest sender, whose queue
determines all other callers' p99.

Start-time fair queueing: each flow has a start tag that grows by cost divided
by weight as it is served, and the lowest tag is next, so a caller with too many
requests only delays itself. A flow that was idle re-enters at the current
virtual time: idle time earns no credit. The tag of an idle flow is stored only
while it is ahead of the virtual time, so memory grows with the queued work and
not with the number of callers.
"""

import heapq
import itertools
import math
from collections.abc import Hashable
from typing import Final

from guavagate.decisions._work import Work, WorkKind

# People wait for interactive work, while a rollout sample waits for the rest of
# its step. Eight to one lets a full pool answer interactive callers at once,
# and one ninth of all slots still goes to samples, so that each step advances.
KIND_WEIGHTS: Final = {WorkKind.INTERACTIVE: 8.0, WorkKind.ROLLOUT: 1.0}

_REBUILD_SLACK: Final = 64

Path = tuple[Hashable, ...]


class FlowItem:
    """One queued work item.

    `key` orders the items of a flow, the lowest first. From `urgent_from` on an
    item precedes the fair shares, and after `latest_start` it is not expected
    to meet its deadline.
    """

    __slots__ = (
        'cost',
        'key',
        'latest_start',
        'leaf',
        'removed',
        'urgent_from',
        'work',
    )

    def __init__(
        self, work: Work, key: float, cost: float, latest_start: float
    ) -> None:
        self.work = work
        self.key = key
        self.cost = cost
        self.latest_start = latest_start
        self.urgent_from = latest_start
        self.leaf: Flow | None = None
        self.removed = False


class Flow:
    """A node of the tree: all queued work of a kind, team or caller.

    `sequence` is the number of its valid entry in the parent's `child_heap`;
    entries with another number are outdated and skipped.
    """

    __slots__ = (
        'active_weight',
        'backlog',
        'child_heap',
        'children',
        'idle_heap',
        'idle_tags',
        'items',
        'name',
        'parent',
        'sequence',
        'start_tag',
        'suspended',
        'virtual_time',
        'weight',
    )

    def __init__(
        self, name: Hashable, parent: 'Flow | None', weight: float
    ) -> None:
        self.name = name
        self.parent = parent
        self.weight = weight
        self.start_tag: float = 0
        self.virtual_time: float = 0
        self.backlog: float = 0
        self.active_weight: float = 0
        self.sequence = 0
        self.suspended = False
        self.children: dict[Hashable, Flow] = {}
        self.child_heap: list[tuple[float, int, Flow]] = []
        self.items: list[tuple[float, int, FlowItem]] = []
        self.idle_tags: dict[Hashable, float] = {}
        self.idle_heap: list[tuple[float, int, Hashable]] = []


class FairQueue:
    """Queues work and returns it by weighted fair shares."""

    def __init__(self) -> None:
        self._sequence = itertools.count(1)
        self._root = Flow('', None, 1.0)
        self._suspended: list[Flow] = []
        self._urgent_heap: list[tuple[float, int, FlowItem]] = []
        self._deadline_heap: list[tuple[float, int, FlowItem]] = []
        self._size = 0

    def __len__(self) -> int:
        """Return the number of queued items."""
        return self._size

    @property
    def backlog(self) -> float:
        """Return the cost of all queued work."""
        return self._root.backlog

    def count_flows(self) -> int:
        """Return the number of stored flows, idle ones included."""
        return _count_flows(self._root)

    def push(
        self, item: FlowItem, path: Path, weights: tuple[float, ...]
    ) -> None:
        """Queue an item in the flow that the path names."""
        flow = self._root
        for name, weight in zip(path, weights, strict=True):
            child = flow.children.get(name)
            if child is None:
                child = self._create_flow(flow, name, weight)
            flow = child
        item.leaf = flow
        self._insert(flow, item)

    def pop_urgent(self, now: float) -> FlowItem | None:
        """Pop an item that must start now to meet its deadline, if any.

        Admitted work has been promised its deadline. Its flows are charged as
        usual, so the others get their shares back afterwards.
        """
        while self._urgent_heap and self._urgent_heap[0][0] <= now:
            item = heapq.heappop(self._urgent_heap)[2]
            if item.removed or item.leaf is None or item.leaf.suspended:
                continue
            self._charge(item.leaf, item.cost)
            self.remove(item)
            return item
        return None

    def pop(self) -> FlowItem | None:
        """Pop the next item and charge its flows, or return nothing."""
        flow = self._root
        while not flow.items:
            child = self._find_first(flow)
            if child is None:
                return None
            flow = child
            self._drop_removed(flow)
        item = heapq.heappop(flow.items)[2]
        self._charge(flow, item.cost)
        self._account(item, -1)
        item.removed = True
        self._close_empty(flow)
        return item

    def put_back(
        self,
        item: FlowItem,
        path: Path,
        weights: tuple[float, ...],
        *,
        suspend: bool,
    ) -> None:
        """Queue a popped item again and undo its charge.

        A suspended flow is skipped until `resume`.
        """
        self.push(item, path, weights)
        flow = item.leaf
        while flow is not None and flow.parent is not None:
            flow.start_tag -= item.cost / flow.weight
            self._reorder(flow)
            flow = flow.parent
        if suspend:
            self._suspend(item.leaf)

    def find_overdue(self, now: float) -> FlowItem | None:
        """Return an item that should have started before now, if any."""
        while self._deadline_heap and self._deadline_heap[0][0] < now:
            item = self._deadline_heap[0][2]
            if not item.removed:
                return item
            heapq.heappop(self._deadline_heap)
        return None

    def resume(self) -> None:
        """Include suspended flows again."""
        for flow in self._suspended:
            flow.suspended = False
            if flow.items and flow.parent is not None:
                self._reorder(flow)
                self._resume_flow(flow.parent)
        self._suspended.clear()

    def remove(self, item: FlowItem) -> None:
        """Remove an item without serving it."""
        if item.removed:
            return
        item.removed = True
        self._account(item, -1)
        leaf = item.leaf
        if leaf is not None:
            self._drop_removed(leaf)
            self._close_empty(leaf)

    def compute_cost_ahead(
        self,
        path: Path,
        weights: tuple[float, ...],
        cost: float,
    ) -> float:
        """Return the queued cost that a new item would wait for.

        Under fair shares a flow waits for its own backlog, stretched by the
        weights of all others with a backlog. The result may exceed all that is
        queued now, since other flows' later work also gets its share first.
        """
        flow: Flow | None = self._root
        stretch: float = 1
        own: float = 0
        for name, weight in zip(path, weights, strict=True):
            if flow is None:
                break
            child = flow.children.get(name)
            active = flow.active_weight + (0 if child else weight)
            stretch *= active / weight
            own = child.backlog if child else 0
            flow = child
        return (own + cost) * stretch if self._size else 0

    def _create_flow(self, parent: Flow, name: Hashable, weight: float) -> Flow:
        flow = Flow(name, parent, max(weight, 1e-6))
        flow.start_tag = max(parent.virtual_time, parent.idle_tags.pop(name, 0))
        parent.children[name] = flow
        parent.active_weight += flow.weight
        self._reorder(flow)
        return flow

    def _insert(self, leaf: Flow, item: FlowItem) -> None:
        item.removed = False
        number = next(self._sequence)
        heapq.heappush(leaf.items, (item.key, number, item))
        if item.latest_start < math.inf:
            heapq.heappush(
                self._deadline_heap, (item.latest_start, number, item)
            )
            heapq.heappush(self._urgent_heap, (item.urgent_from, number, item))
        # Removed items stay in the heaps until they reach the top. Rebuild the
        # heaps when most items are removed, or long deadlines would keep the
        # items of all answers.
        if len(self._deadline_heap) > 2 * self._size + _REBUILD_SLACK:
            self._deadline_heap = [
                queued
                for queued in self._deadline_heap
                if not queued[2].removed
            ]
            heapq.heapify(self._deadline_heap)
            self._urgent_heap = [
                queued for queued in self._urgent_heap if not queued[2].removed
            ]
            heapq.heapify(self._urgent_heap)
        self._account(item, 1)

    def _account(self, item: FlowItem, sign: int) -> None:
        self._size += sign
        change = sign * item.cost
        flow = item.leaf
        while flow is not None:
            flow.backlog += change
            flow = flow.parent

    def _charge(self, leaf: Flow, cost: float) -> None:
        flow = leaf
        while flow.parent is not None:
            flow.parent.virtual_time = max(
                flow.parent.virtual_time, flow.start_tag
            )
            flow.start_tag += cost / flow.weight
            self._reorder(flow)
            flow = flow.parent

    def _find_first(self, flow: Flow) -> Flow | None:
        child_heap = flow.child_heap
        while child_heap:
            _, sequence, child = child_heap[0]
            if sequence == child.sequence and not child.suspended:
                return child
            heapq.heappop(child_heap)
        return None

    def _reorder(self, flow: Flow) -> None:
        if flow.parent is None:
            return
        flow.sequence = next(self._sequence)
        heapq.heappush(
            flow.parent.child_heap, (flow.start_tag, flow.sequence, flow)
        )

    def _suspend(self, flow: Flow | None) -> None:
        while flow is not None and flow.parent is not None:
            flow.suspended = True
            self._suspended.append(flow)
            flow = flow.parent
            if self._find_first(flow) is not None:
                return

    def _resume_flow(self, flow: Flow) -> None:
        while flow.parent is not None:
            flow.suspended = False
            self._reorder(flow)
            flow = flow.parent

    def _drop_removed(self, flow: Flow) -> None:
        while flow.items and flow.items[0][2].removed:
            heapq.heappop(flow.items)

    def _close_empty(self, flow: Flow) -> None:
        self._drop_removed(flow)
        while flow.parent is not None and not (flow.items or flow.children):
            parent = flow.parent
            parent.children.pop(flow.name, None)
            parent.active_weight -= flow.weight
            flow.sequence = 0
            self._record_idle(parent, flow)
            flow = parent

    def _record_idle(self, parent: Flow, flow: Flow) -> None:
        if not parent.children:
            # The end of a busy period: no flow has service outstanding.
            parent.idle_tags.clear()
            parent.idle_heap.clear()
            parent.child_heap.clear()
            return
        if flow.start_tag > parent.virtual_time:
            parent.idle_tags[flow.name] = flow.start_tag
            idle = (flow.start_tag, next(self._sequence), flow.name)
            heapq.heappush(parent.idle_heap, idle)
        while (
            parent.idle_heap and parent.idle_heap[0][0] <= parent.virtual_time
        ):
            start, _, name = heapq.heappop(parent.idle_heap)
            if parent.idle_tags.get(name) == start:
                parent.idle_tags.pop(name)


def _count_flows(flow: Flow) -> int:
    below = sum(_count_flows(child) for child in flow.children.values())
    return below + len(flow.children) + len(flow.idle_tags)
