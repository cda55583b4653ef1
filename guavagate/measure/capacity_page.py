"""docs/CAPACITY.md, worked out from the measured slopes.

Every figure of the page comes from `docs/measured/` and the sizes below, by
the formula that the page prints beside it; a test compares the page with what
this module makes.
"""

import math
from pathlib import Path
from typing import Any, Final

import msgspec

from guavagate.const import DEFAULT_PARTITIONS
from guavagate.permits import MAX_POOL

MEASURED: Final = Path(__file__).parents[2] / 'docs' / 'measured'

# The sizes of two years from now.
NODES: Final = 330
SAMPLERS: Final = 730
REQUESTS: Final = 5_400
TOKENS: Final = 1_300_000
TRAINERS: Final = 3
STEP_SAMPLES: Final = 2_048
STEP_SECONDS: Final = 720
CHANGES_A_DAY: Final = 810
DAY: Final = 86_400
# Assumed, since nobody has told them: said on the page.
KEYED_SHARE: Final = 0.05
PARTITIONS: Final = DEFAULT_PARTITIONS
TEXT_BYTES: Final = 4_000
RECORD_BYTES: Final = 90_000
TOKENS_AN_ANSWER: Final = TOKENS / REQUESTS
SECONDS_A_TOKEN: Final = 0.02
CPU_BUDGET: Final = 1.2
BYTES_BUDGET: Final = 8_000
MEMORY_BUDGET: Final = 32


class Figures:
    """What was measured."""

    def __init__(self, folder: Path = MEASURED) -> None:
        self.costs: dict[str, float] = _read(folder / 'costs.json')
        self.slopes: dict[str, float] = {
            one['name']: one['slope'] for one in _read(folder / 'slopes.json')
        }
        parts = _read(folder / 'capacity-parts.json')
        self.parts: dict[str, dict[str, float]] = parts['lines']
        self.daemon: dict[str, dict[str, float]] = _read(
            folder / 'capacity-daemon.json'
        )['lines']


class Row(msgspec.Struct, frozen=True, kw_only=True):
    """One role at the size of two years; rates are a second."""

    role: str
    mechanism: str
    state: str
    messages: float
    size: float
    cpu: float
    memory: float
    store: str
    formula: str


def make_page() -> str:
    """Return the whole page."""
    figures = Figures()
    rows = [
        _membership(figures),
        _entry(figures),
        _home(figures),
        _partitions(figures),
        _runs(figures),
        _settings(),
        _weights(figures),
    ]
    parts = [
        _HEAD,
        _render_rows(rows),
        _render_sum(rows, figures),
        _render_store(figures),
        _render_chains(figures),
        _TAIL,
    ]
    body = '\n\n'.join(part.strip('\n') for part in parts)
    return f'{body}\n'


def _membership(figures: Figures) -> Row:
    line = figures.parts
    return Row(
        role='membership and bus at rest',
        mechanism='SWIM probes over UDP; connections open only when used',
        state=f'{NODES} members',
        messages=line['messages_per_second']['at_330'],
        size=line['kilobytes_per_second']['at_330'] * 1000,
        cpu=line['cpu_percent']['at_330'],
        memory=line['memory_mb']['at_330'],
        store='list read every 30 s',
        formula='line over 8 to 128 nodes, read off at 330',
    )


def _entry(figures: Figures) -> Row:
    rate = REQUESTS / NODES
    bus = figures.slopes['bus request'] / 2
    codec = figures.slopes['permit codec']
    held = rate * TOKENS_AN_ANSWER * SECONDS_A_TOKEN
    return Row(
        role='entry: permits of its requests',
        mechanism='one ask, one reply, one release; streams go directly',
        state=f'{held:.0f} permits held',
        messages=rate * 3,
        size=rate * figures.slopes['permit messages'],
        cpu=rate * (bus + codec) / 1e4,
        memory=held * 0.002,
        store='none',
        formula='5,400 / 330 requests × (half a bus request + codec)',
    )


def _home(figures: Figures) -> Row:
    rate = REQUESTS / NODES
    choice = figures.costs['choice_us_at_16_samplers']
    finish = figures.costs['finish_us_at_16_samplers']
    bus = figures.slopes['bus request'] / 2
    return Row(
        role='home of pools, mean of all nodes',
        mechanism='rendezvous hashing; pools of at most 16',
        state=f'{SAMPLERS / NODES:.1f} samplers, their queue',
        messages=rate * 3 + SAMPLERS / NODES,
        size=rate * figures.slopes['permit messages'],
        cpu=rate * (choice + finish + bus) / 1e4,
        memory=1,
        store='none',
        formula='5,400 / 330 × (choice + finish + half a bus request)',
    )


def _partitions(figures: Figures) -> Row:
    rate = REQUESTS * KEYED_SHARE / PARTITIONS
    return Row(
        role='ledger: primary of a partition, one node in ten',
        mechanism='a record in the store, replaced conditionally',
        state='one copy of 2 MB',
        messages=rate * figures.costs['ledger_messages'],
        size=rate * figures.costs['ledger_bytes'],
        cpu=rate * figures.costs['ledger_cpu_ms'] / 10,
        memory=2,
        store=f'{2 * rate:.0f} writes/s at most, fewer as they are grouped',
        formula=f'{KEYED_SHARE:.0%} of requests keyed × measured cost / 32',
    )


def _runs(figures: Figures) -> Row:
    rate = TRAINERS * STEP_SAMPLES / STEP_SECONDS
    cost = (
        figures.slopes['sample entry']
        + figures.slopes['hand-out']
        + figures.slopes['bus request']
    )
    samples = TRAINERS * STEP_SAMPLES
    state = samples * (figures.slopes['step state'] - 2_000 + TEXT_BYTES)
    return Row(
        role='runs: primary of one deployment',
        mechanism='record and segments in the store, cursor, driver',
        state=f'{state / 1e6:.0f} MB for {samples:,} samples',
        messages=rate * 2,
        size=rate * (TEXT_BYTES * 3 + 125),
        cpu=rate * cost / 1e4,
        memory=state / 1e6,
        store=f'{rate:.1f} writes/s at most',
        formula='8.5 samples × (entry + hand-out + bus request)',
    )


def _settings() -> Row:
    rate = CHANGES_A_DAY / DAY
    return Row(
        role='settings in force',
        mechanism='told to peers; one relay a zone watches; digests in probes',
        state='every team, parsed',
        messages=rate * 2,
        size=rate * RECORD_BYTES,
        cpu=0.01,
        memory=2,
        store='7 waiting watches; 3 writes a change',
        formula='810 changes a day × one record to each node',
    )


def _weights(figures: Figures) -> Row:
    orders = SAMPLERS * 2 / 300
    reads = SAMPLERS / 60
    return Row(
        role='weights: primary of a deployment',
        mechanism='orders with the epoch; a report every 60 s, 0.25 s in an order',
        state=f'{SAMPLERS} reports',
        messages=orders + reads,
        size=(orders + reads) * 300,
        cpu=(orders + reads) * figures.costs['request_cpu_ms'] / 10 / 4,
        memory=1,
        store='none',
        formula='730 / 60 s reads + 2 orders each 300 s, a quarter of a request',
    )


def _render_rows(rows: list[Row]) -> str:
    lines = [
        '| role | mechanism | state | messages/s | KB/s | CPU % of a core |'
        ' MB | object API | formula |',
        '| --- | --- | --- | ---: | ---: | ---: | ---: | --- | --- |',
    ]
    lines.extend(
        f'| {row.role} | {row.mechanism} | {row.state} |'
        f' {row.messages:.1f} | {row.size / 1000:.2f} | {row.cpu:.2f} |'
        f' {row.memory:.1f} | {row.store} | {row.formula} |'
        for row in rows
    )
    return '\n'.join(lines)


def _render_sum(rows: list[Row], figures: Figures) -> str:
    daemon = figures.daemon['cpu_percent']
    control = (rows[0], rows[5])
    cpu = sum(row.cpu for row in control)
    size = sum(row.size for row in control)
    whole = max(daemon['at_330'], daemon['at_rest'])
    # A line that falls with the size is noise; the figure at rest bounds it.
    memory = max(
        figures.daemon['memory_mb']['at_330'],
        figures.daemon['memory_mb']['at_rest'],
    )
    pools = math.ceil(SAMPLERS / MAX_POOL)
    home = rows[2].cpu * NODES / pools
    weights = rows[6]
    runs = rows[4]
    request = figures.costs['request_cpu_ms'] * REQUESTS / NODES / 10
    events = figures.costs['event_cpu_us'] * TOKENS / NODES / 1e4
    return f"""
## Against a node's budget

| what | CPU % | of 1.2 | KB/s | of 8 | MB | of 32 |
| --- | ---: | ---: | ---: | ---: | ---: | ---: |
| every node: membership and settings | {cpu:.2f} | {cpu / CPU_BUDGET:.0%} |\
 {size / 1000:.1f} | {size / BYTES_BUDGET:.0%} |\
 {rows[0].memory + rows[5].memory:.1f} |\
 {(rows[0].memory + rows[5].memory) / MEMORY_BUDGET:.0%} |
| every node: the whole daemon at rest, measured | {whole:.2f} |\
 {whole / CPU_BUDGET:.0%} | {figures.daemon['kilobytes_per_second']['at_330']:.1f} |\
 {figures.daemon['kilobytes_per_second']['at_330'] * 1000 / BYTES_BUDGET:.0%} |\
 {memory:.1f} |\
 {memory / MEMORY_BUDGET:.0%} |
| the {TRAINERS} primaries of runs, besides | {runs.cpu:.2f} |\
 {runs.cpu / CPU_BUDGET:.0%} | {runs.size / 1000:.0f} |\
 {runs.size / BYTES_BUDGET:.0%} | {runs.memory:.0f} |\
 {runs.memory / MEMORY_BUDGET:.0%} |
| the primary of 730 samplers' weights, besides | {weights.cpu:.1f} |\
 {weights.cpu / CPU_BUDGET:.0%} | {weights.size / 1000:.0f} |\
 {weights.size / BYTES_BUDGET:.0%} | {weights.memory:.0f} |\
 {weights.memory / MEMORY_BUDGET:.0%} |

Permits, the ledger and streaming grow with requests, not with the fleet, and
are counted as serving. At one of the {pools} homes of a full pool the queue
costs {home:.1f} % of a core. Serving itself costs a node {request:.1f} % of a
core for its {REQUESTS / NODES:.1f} requests a second and {events:.0f} % for
its {TOKENS / NODES:,.0f} tokens a second, one event each."""


def _render_store(figures: Figures) -> str:
    per_loss = figures.costs['zone_loss_writes_per_partition']
    keyed = 2 * REQUESTS * KEYED_SHARE
    samples = TRAINERS * STEP_SAMPLES / STEP_SECONDS
    segments = samples * TEXT_BYTES * 4 / 3 / 64_000
    moved = (8 + 170 * 2) * PARTITIONS / NODES
    reads = NODES / 30 + NODES * 4 / 300
    return f"""
## The object API's budget

Several hundred writes and about 2,000 reads a second; a waiting watch counts
as a call.

| when | writes | reads/s | watches |
| --- | --- | --- | --- |
| at rest | {CHANGES_A_DAY / DAY * 3:.2f}/s (settings) | {reads:.1f} (list\
 every 30 s, settings now and then) | 7 (one a zone) |
| keyed requests at the peak | at most {keyed:.0f}/s, two for each; fewer, as\
 those of one partition share writes | | |
| samples of {TRAINERS} trainers | at most {samples:.1f}/s, and\
 {segments:.1f}/s for segments | | |
| an ordinary day: 8 failures, 170 replacements | {moved:,.0f} a day, as\
 partitions change hands | as at rest | 7 |
| an availability zone goes | {PARTITIONS * per_loss:.0f} within 2 s | as at\
 rest | 6 |
| the API comes back after an hour | {PARTITIONS} within 1 s | as at rest | 7 |

A partition that changes hands costs one write, one read and one list. When a
zone of three went, {PARTITIONS * per_loss:.0f} writes were measured for
{PARTITIONS} partitions. Keyed requests are what binds: at {keyed:.0f} writes a
second they take half of 1,200, and each write of a partition carries those of
all commands that came in the 10 ms before."""


def _render_chains(figures: Figures) -> str:
    takeover = figures.costs['takeover_s_max']
    waves = 2
    orders = SAMPLERS / 2 * 0.003
    late = figures.costs['settings_longest_s_330']
    p99 = figures.costs['settings_p99_s_330']
    work = TRAINERS * STEP_SAMPLES * TOKENS_AN_ANSWER * SECONDS_A_TOKEN
    slots = SAMPLERS * 8
    return f"""
## The three chains

**New weights on all samplers within 6 s**, from the publish to the last swap,
with weights fetched ahead: tick 0.25 s + reading 730 reports
{SAMPLERS * figures.costs['request_cpu_ms'] / 4000:.1f} s + confirming the
epoch 0.01 s + {waves} waves of (orders {orders:.1f} s + a swap of 1.0 s, the
engine's) = {0.25 + SAMPLERS * figures.costs['request_cpu_ms'] / 4000 + 0.01 + waves * (orders + 1):.1f} s.
*Today's code would not fetch ahead of the publish*: prefetch orders start
with it, paced by the store's rate ({SAMPLERS}/rate seconds). Publishing the
version to the weight store some minutes before telling guavagate, with a
`prefetch` call of its own, is what the 6 s need.

**A step whole within 12 minutes.** {TRAINERS} × {STEP_SAMPLES:,} samples of
{TOKENS_AN_ANSWER:.0f} tokens are {work / 3600:.1f} slot hours; on half of
{slots:,} slots {work / (slots / 2) / 60:.1f} minutes, and 1.1 times that with
stragglers (docs/decisions.md). A primary that dies adds {takeover:.1f} s.

**Settings in force everywhere within 19 s.** p99 {p99:.3f} s, longest
{late:.1f} s at 330 instances in virtual time (`script/measure settings`); with
the store slow, its retry of up to 5 s is added, and a node that lost the
message hears of it by the digests in probes within {NODES**0.5:.0f} s."""


_HEAD = """
# Capacity at the size of two years

330 nodes before 730 samplers; 5,400 requests and 1.3 million tokens a second;
3 trainers of 2,048 samples a step; 7 availability zones in 2 regions; 810
changes of settings a day. Made by `script/docs` from `docs/measured/`; a test
compares the page with what the figures give. On the users' platform other
mechanisms carry the load: [capacity-platform.md](capacity-platform.md).

Figures were measured on one machine: `script/measure capacity` (whole
instances 8 to 64, parts 8 to 128 processes, lines with error), `script/measure
slopes` (four sizes each), `script/measure cost`, `script/measure
cost-per-request`, `script/measure outcomes --costs` and `script/measure
settings`. Assumed, since nobody has told: 5 % of requests carry a key and are
not idempotent, samples of 4,000 bytes, one token an event, settings records
of 90 KB.

## Roles
"""

_TAIL = """
## When two regions lose each other for an hour

| promise | what happens |
| --- | --- |
| versions, staleness | kept: they are read and checked where the sample is entered; an instance that can't reach the object API enters and hands out nothing |
| exactly-once delivery | kept: the trainer pulls where the object API is reached, or gets a refusal; its cursor is the commit point |
| whole answers | kept: streams within a region go on; those across the link end at the token limit and are resumed on this side |
| "not run" is true | kept: where the object API is not reached a keyed request is refused before it runs |
| at most one run | kept: the record is in the object API, so the side that can't reach it takes nothing over |
| leaving upstreams | each side hears the reports of the upstreams it reaches |
| settings | accepted only where the object API is reached; the other side serves by what it has, and fails readiness after `settings_limit` if it hears neither store nor peers that do |

On the side without the object API keyed requests and steps are refused
(`not_run: true`), all else is served.

## Where today's code would not hold

- **Serving cost.** 2.7 to 3.6 ms a request and 86 to 87 µs an event were
  measured at 50 requests a second, in two runs; at 3,900 tokens a second a node spends a third of a core
  on events alone. Engines that send several tokens an event divide it; the
  adapter's reading of chunks is the largest part.
- **Weights primary, in a rollout.** For the seconds of a rollout it reads and
  orders 730 samplers itself, about a core's work for a second or two. The
  homes read those reports already; asking the 46 homes instead would spread
  it.
- **Runs primary.** Each sample's text goes to the store three times: in the
  record, in a segment, and in a copy. At 8.5 samples a second that is 100
  KB/s; texts could go straight into objects of their own.
- **Swaps ahead.** See the first chain.
"""


def _read(path: Path) -> Any:
    return msgspec.json.decode(path.read_bytes())
