"""Finds out from the job owners' logs where the time of steps went.

A step consists of groups, and a group is complete when its last item is
listed. The phases of that item are the critical path of its group: the job is
accepted, then an owner starts it, then the item waits for a sampler, its text,
its reward and its entry in the list of results.
"""

import enum
import itertools
from collections.abc import Iterable, Sequence
from typing import Final

import msgspec

from guavagate.events import jobs
from guavagate.explain.logs import LogLine

# Width of a waterfall in characters; it shows the time of one objective.
WATERFALL_WIDTH: Final = 60
# Seconds, for logs without the job's objective.
DEFAULT_OBJECTIVE: Final = 10.0


class Phase(enum.Enum):
    """What an item waits for; the value is its letter in a waterfall."""

    ACCEPT = 'a'
    OWNER = 'o'
    SAMPLER = 's'
    TEXT = 't'
    REWARD = 'r'
    LIST = 'l'


class StepItem(msgspec.Struct):
    """When an item reached each phase, in seconds since 1970, or None."""

    item: str
    group: str = ''
    started: float | None = None
    whole: float | None = None
    done: float | None = None
    listed: float | None = None
    runs: int = 0
    samplers: list[str] = []
    problems: list[str] = []


class Step(msgspec.Struct):
    """One job as seen in the logs; times are in seconds since 1970."""

    job: str
    number: int = 0
    model: str = ''
    sent: float | None = None
    accepted: float | None = None
    owned: list[tuple[float, str]] = []
    ended: float | None = None
    wanted: int = 0
    objective: float = DEFAULT_OBJECTIVE
    items: dict[str, StepItem] = {}

    @property
    def began(self) -> float:
        """Return when the step was sent, or else first owned."""
        if self.sent is not None:
            return self.sent
        return self.owned[0][0] if self.owned else 0

    def find_critical(self) -> list[StepItem]:
        """Return the last item of each group, ordered by when it was listed."""
        last: dict[str, StepItem] = {}
        for each in self.items.values():
            latest = last.setdefault(each.group or each.item, each)
            if _get_listed_time(each) > _get_listed_time(latest):
                last[each.group or each.item] = each
        return sorted(last.values(), key=_get_listed_time)

    def is_late(self, item: StepItem) -> bool:
        """Return whether an item was not listed within the objective."""
        ended = item.listed
        return ended is None or ended - self.began > self.objective


def read_steps(lines: Iterable[LogLine]) -> list[Step]:
    """Return the steps that the lines mention, in the order of sending."""
    steps: dict[str, Step] = {}
    for line in sorted(lines, key=lambda each: each.time):
        job = line.fields.get('job')
        reader = _READERS.get(line.event)
        if job and reader is not None:
            reader(steps.setdefault(str(job), Step(str(job))), line)
    return sorted(
        (step for step in steps.values() if step.items),
        key=lambda step: step.began,
    )


def measure_phases(step: Step, item: StepItem) -> dict[Phase, float]:
    """Return the seconds that an item spent in each phase."""
    owned = step.owned[0][0] if step.owned else None
    # An item without a reward is done when its text is complete.
    generated = item.done if item.whole is None else item.whole
    rewarded = None if item.whole is None else item.done
    moments = (
        (Phase.ACCEPT, step.accepted),
        (Phase.OWNER, owned),
        (Phase.SAMPLER, item.started),
        (Phase.TEXT, generated),
        (Phase.REWARD, rewarded),
        (Phase.LIST, item.listed),
    )
    phases: dict[Phase, float] = {}
    since = step.began
    for phase, moment in moments:
        if moment is not None:
            phases[phase] = max(moment - since, 0)
            since = max(moment, since)
    return phases


def render_steps(steps: Sequence[Step]) -> list[str]:
    """Return readable lines about each step and its critical groups.

    These are the last group that the step needed, and every late group.
    """
    shown: list[str] = []
    for step in steps:
        critical = step.find_critical()
        listed = [each for each in critical if each.listed is not None]
        wanted = step.wanted or len(critical)
        shown.append(
            f'step {step.number} of {step.model}, job {step.job}:'
            f' {len(listed)} of {len(critical)} groups listed,'
            f' {wanted} wanted; objective {step.objective:g} s,'
            f' {len(step.owned)} owner(s)'
        )
        waited = listed[wanted - 1 : wanted]
        late = [each for each in critical if step.is_late(each)]
        for item in _remove_duplicates([*waited, *late]):
            shown.extend(_render_item(step, item))
    return shown


def _render_item(step: Step, item: StepItem) -> list[str]:
    phases = measure_phases(step, item)
    ended = step.began + sum(phases.values())
    status = 'late' if step.is_late(item) else 'waited for'
    if item.listed is None:
        status = 'never listed'
    times = ' '.join(
        f'{phase.name.lower()}={seconds:.2f}'
        for phase, seconds in phases.items()
    )
    longest = max(phases, key=lambda phase: phases[phase], default=None)
    longest_note = (
        '' if longest is None else f', most for the {longest.name.lower()}'
    )
    lines = [
        f'  {ended - step.began:6.2f} s |{draw_waterfall(step, phases)}|'
        f' group {item.group} item {item.item} {status}{longest_note}',
        f'           {times}; {item.runs} run(s) on'
        f' {" ".join(item.samplers) or "no sampler"}',
    ]
    return [*lines, *(f'           {each}' for each in item.problems)]


def draw_waterfall(step: Step, phases: dict[Phase, float]) -> str:
    """Draw the phases as letters, at a scale of one objective."""
    scale = WATERFALL_WIDTH / step.objective
    drawn: list[str] = []
    ends = itertools.accumulate(phases.values())
    for phase, until in zip(phases, ends, strict=True):
        drawn.extend(phase.value * (round(until * scale) - len(drawn)))
    return ''.join(drawn[:WATERFALL_WIDTH]).ljust(WATERFALL_WIDTH)


def plot_steps(steps: Sequence[Step], path: str) -> None:
    """Plot the critical paths of all steps' groups to a file."""
    from matplotlib import pyplot

    figure, axes = pyplot.subplots(figsize=(12, 2 + len(steps)))
    first = steps[0].began if steps else 0
    row = 0
    for step in steps:
        for item in step.find_critical():
            at = step.began - first
            for phase, seconds in measure_phases(step, item).items():
                color = _PHASE_COLORS[phase]
                axes.broken_barh([(at, seconds)], (row, 0.8), color=color)
                at += seconds
            row += 1
    for phase, color in _PHASE_COLORS.items():
        axes.plot([], [], color=color, label=phase.name.lower(), linewidth=6)
    axes.legend(loc='lower right')
    axes.set_xlabel('seconds since the first step was sent')
    axes.set_ylabel('groups, in the order of their ends')
    figure.savefig(path)
    pyplot.close(figure)


_PHASE_COLORS: Final = {
    Phase.ACCEPT: 'tab:gray',
    Phase.OWNER: 'tab:red',
    Phase.SAMPLER: 'tab:orange',
    Phase.TEXT: 'tab:blue',
    Phase.REWARD: 'tab:green',
    Phase.LIST: 'tab:purple',
}


def _get_listed_time(item: StepItem) -> float:
    """Return when an item was listed; infinity if it never was."""
    return float('inf') if item.listed is None else item.listed


def _remove_duplicates(items: Iterable[StepItem]) -> list[StepItem]:
    return list({each.item: each for each in items}.values())


def _find_item(step: Step, line: LogLine) -> StepItem:
    name = str(line.fields.get('item'))
    item = step.items.setdefault(name, StepItem(name))
    item.group = str(line.fields.get('group') or item.group)
    return item


def _read_accepted(step: Step, line: LogLine) -> None:
    if step.accepted is None:
        step.accepted = line.time
        step.sent = line.time - float(line.fields.get('seconds') or 0)


def _read_owned(step: Step, line: LogLine) -> None:
    step.owned.append((line.time, line.source))
    step.number = int(line.fields.get('step') or 0)
    step.model = str(line.fields.get('model') or '')
    step.wanted = int(line.fields.get('wanted') or 0)
    step.objective = float(line.fields.get('objective') or DEFAULT_OBJECTIVE)


def _read_started(step: Step, line: LogLine) -> None:
    item = _find_item(step, line)
    item.runs += 1
    if item.started is None:
        item.started = line.time
    sampler = str(line.fields.get('sampler') or '')
    if sampler not in item.samplers:
        item.samplers.append(sampler)


def _read_failure(step: Step, line: LogLine) -> None:
    problem = line.fields.get('problem') or line.fields.get('reason') or ''
    after = line.time - step.began
    _find_item(step, line).problems.append(f'{after:6.2f} s {problem}')


def _read_text_complete(step: Step, line: LogLine) -> None:
    item = _find_item(step, line)
    if item.whole is None:
        item.whole = line.time


def _read_done(step: Step, line: LogLine) -> None:
    item = _find_item(step, line)
    if item.done is None:
        item.done = line.time


def _read_listed(step: Step, line: LogLine) -> None:
    """Mark all done items as listed; the event has only their number."""
    for item in step.items.values():
        if item.done is not None and item.listed is None:
            item.listed = line.time


def _read_ended(step: Step, line: LogLine) -> None:
    if step.ended is None:
        step.ended = line.time


_READERS: Final = {
    jobs.ACCEPTED.code: _read_accepted,
    jobs.OWNED.code: _read_owned,
    jobs.ITEM_STARTED.code: _read_started,
    jobs.ITEM_INTERRUPTED.code: _read_failure,
    jobs.TEXT_COMPLETE.code: _read_text_complete,
    jobs.REWARD_FAILED.code: _read_failure,
    jobs.ITEM_DONE.code: _read_done,
    jobs.RESULTS_COMMITTED.code: _read_listed,
    jobs.ENDED.code: _read_ended,
}
