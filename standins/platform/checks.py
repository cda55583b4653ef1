"""The promises, checked from what callers and samplers see."""

from collections import defaultdict
from typing import Any, Final

from standins.platform.sampler import Journal, count_events

LEASE_SECONDS: Final = 3.0
# Orders of one holder may arrive a little after they were sent.
_SLACK_SECONDS: Final = 0.3


class Verdict:
    """Violations found, and how much was checked."""

    def __init__(self, journal: Journal) -> None:
        self._journal = journal
        self.violations: list[str] = []
        self.checked = 0
        self._positions: dict[str, dict[int, Any]] = defaultdict(dict)
        self._oldest: dict[str, int] = {}
        self._items: dict[str, set[str]] = {}

    def fail(self, rule: str, what: str) -> None:
        """Note a broken promise."""
        self.violations.append(f'{rule}: {what}')

    def expect(self, holds: bool, rule: str, what: str) -> None:
        """Check one thing."""
        self.checked += 1
        if not holds:
            self.fail(rule, what)

    def submit(self, job: str, items: set[str], oldest: int) -> None:
        """Note a job that is submitted."""
        self._items[job] = items
        self._oldest[job] = oldest

    def read(self, job: str, after: int, page: dict[str, Any]) -> None:
        """Check results as they are read, against earlier reads."""
        self.expect(
            page['total'] == len(self._items[job]), 'TOTAL', f'{job} {page}'
        )
        for number, result in enumerate(page['results'], after):
            held = self._positions[job].setdefault(number, result)
            self.expect(held == result, 'POSITION', f'{job} at {number}')
            self._check_result(job, result)
        ids = [each['id'] for each in self._positions[job].values()]
        self.expect(len(set(ids)) == len(ids), 'DOUBLED', f'{job} {ids}')

    def listed(self, job: str) -> int:
        """Return how many positions of a job were read."""
        return len(self._positions[job])

    def _check_result(self, job: str, result: dict[str, Any]) -> None:
        item = result['id']
        self.expect(item in self._items[job], 'FOREIGN', f'{job} {item}')
        if result['state'] != 'completed':
            self.fail('ERRORED', f'{job} {item}')
            return
        parts = [line.split('/') for line in result['text'].split('\n')]
        numbers = [int(part[1]) for part in parts]
        whole = list(range(1, count_events(item) + 1))
        self.expect(numbers == whole, 'TEXT', f'{job} {item} {numbers}')
        self.expect(
            all(part[0] == item for part in parts), 'MIXED', f'{job} {item}'
        )
        self._check_signature(item, result.get('score', ''))
        made = {int(part[2]) for part in parts}
        named = set(result['versions'])
        self.expect(made == named, 'VERSIONS', f'{item} {made} not {named}')
        self.expect(
            min(made) >= self._oldest[job], 'STALE', f'{job} {item} {made}'
        )

    def _check_signature(self, item: str, signature: str) -> None:
        """Check that it is of the item's reward call, made after the text."""
        name, came = self._journal.rated.get(signature, ('', 0))
        self.expect(
            name == f'w-{item}', 'SIGNATURE', f'{item} {signature} {name}'
        )
        whole_at = self._journal.whole_at.get(item, came)
        self.expect(came >= whole_at, 'EARLY', f'{item} {came} {whole_at}')

    def check_teams(self, journal: Journal, team: str) -> None:
        """Check that samplers were told the team, and never a key.

        A reward request is nobody's.
        """
        told = set(journal.teams) - {''}
        self.expect(told <= {team}, 'TEAM', f'{journal.teams}')
        seen = journal.keys_seen
        self.expect(not seen, 'KEY', f'samplers saw {seen} keys')

    def check_windows(self, windows: dict[int, list[Any]]) -> None:
        """Check that each window of usage has one content."""
        for window, contents in windows.items():
            one = len(contents) == 1
            self.expect(one, 'WINDOW', f'{window} {contents}')

    def check_orders(self, orders: list[tuple[float, str, int]]) -> None:
        """Check that no two holders ordered within one lease time."""
        before: tuple[float, str, int] | None = None
        for when, holder, generation in sorted(orders):
            if before is not None and holder != before[1]:
                gap = when - before[0]
                apart = gap >= LEASE_SECONDS - _SLACK_SECONDS
                self.expect(apart, 'HOLDERS', f'{before} then {holder} {gap}')
            if before is not None:
                grown = generation >= before[2]
                self.expect(grown, 'GENERATION', f'{before} {generation}')
            before = (when, holder, generation)
