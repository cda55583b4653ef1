"""Mutations that each remove one safeguard of pages, replicas and the bus."""

from typing import Final

from standins._safeguard_rows import Safeguard

_PAGES: Final = 'guavagate/jobs/records/_pages.py'
_CACHE: Final = 'guavagate/jobs/records/_result_cache.py'
_ZONES: Final = 'guavagate/jobs/ownership/_zones.py'
_COMPRESSION: Final = 'guavagate/links/_compression.py'
_LINK: Final = 'guavagate/links/_link.py'
_SERVER: Final = 'guavagate/links/_server.py'
_TEST_PAGES: Final = 'tests/jobs/records/test_zone_pages.py'
_TEST_LOSS: Final = 'tests/jobs/ownership/test_zone_loss.py'
_TIERS: Final = 'guavagate/routing/_tiers.py'
_TEST_TIERS: Final = 'tests/routing/test_tiers.py'
_TEST_COMPRESSION: Final = 'tests/links/test_compression.py'
_TEST_TRAFFIC: Final = 'tests/links/test_message_traffic.py'

BYTES_SAFEGUARDS: Final = (
    Safeguard(
        'a cached result of a removed job is not shown for a later one',
        _CACHE,
        'if cached is None or cached.identity != identity:',
        'if cached is None:',
        _TEST_PAGES,
    ),
    Safeguard(
        'a cache sends all results of a page or none',
        _PAGES,
        '        if len(found.results) != reply.end - message.after:\n',
        '        if False:\n',
        _TEST_PAGES,
    ),
    Safeguard(
        'a page does not end at a gap of the cache',
        _PAGES,
        '        if page.next >= reply.end:\n',
        '        if True:\n',
        _TEST_PAGES,
    ),
    Safeguard(
        'an owner with fewer results hides none',
        _PAGES,
        '        if identity != page.identity or last < page.next:\n',
        '        if True:\n',
        _TEST_PAGES,
    ),
    Safeguard(
        'a cache sends no results of a removed job for a later one',
        _PAGES,
        'if identity == asked.identity and len(cached) >= count:',
        'if len(cached) >= count:',
        _TEST_PAGES,
    ),
    Safeguard(
        'a cache that sends nothing is not waited for again',
        _PAGES,
        'self._clock.now() + FAILING_SECONDS',
        'self._clock.now()',
        _TEST_PAGES,
    ),
    Safeguard(
        'cached results are bounded',
        _CACHE,
        'while self._jobs and self.size > self.limit:',
        'while False:',
        _TEST_PAGES,
    ),
    Safeguard(
        'cached results count in the memory budget',
        _CACHE,
        '        if self._budget is not None:\n',
        '        if False:\n',
        _TEST_PAGES,
    ),
    Safeguard(
        'fleets of several regions cache no results',
        _ZONES,
        'if any(each.region != here.region for each in alive):',
        'if False:',
        _TEST_PAGES,
    ),
    Safeguard(
        'a look-up carries no results',
        'guavagate/jobs/records/_reader.py',
        '                max_bytes=0,\n',
        '',
        _TEST_PAGES,
    ),
    Safeguard(
        'a lost zone leaves a replica',
        _ZONES,
        'return [*holders[:-1], next(elsewhere, holders[-1])]',
        'return holders',
        _TEST_LOSS,
    ),
    Safeguard(
        'an older peer gets no compressed request',
        _LINK,
        'if self._current.accepts and is_large(body):',
        'if is_large(body):',
        _TEST_COMPRESSION,
    ),
    Safeguard(
        'an older peer gets no compressed reply',
        _SERVER,
        'if not request.accepts or not is_large(body):',
        'if not is_large(body):',
        _TEST_COMPRESSION,
    ),
    Safeguard(
        'errors are not compressed',
        _SERVER,
        '        if act == EnvelopeType.REPLY:\n',
        '        if True:\n',
        _TEST_COMPRESSION,
    ),
    Safeguard(
        'a decompressed body is bounded',
        _COMPRESSION,
        'if envelope.codec != ZLIB or not decompressor.eof:',
        'if envelope.codec != ZLIB:',
        _TEST_COMPRESSION,
    ),
    Safeguard(
        'random data is not compressed',
        _COMPRESSION,
        'if shrunk > len(sample) * _MAX_SAMPLE_RATIO:',
        'if False:',
        _TEST_COMPRESSION,
    ),
    Safeguard(
        'names from the wire add no metrics',
        _SERVER,
        'return envelope.kind if known else UNKNOWN_KIND',
        'return envelope.kind',
        _TEST_TRAFFIC,
    ),
    Safeguard(
        'the index of counters is bounded',
        'guavagate/links/_message_traffic.py',
        'if len(index) >= MAX_INDEX_ENTRIES:',
        'if False:',
        _TEST_TRAFFIC,
    ),
    Safeguard(
        'a fleet of one region routes as without regions',
        _TIERS,
        'if len(set(region_of.values())) < 2:',
        'if not region_of:',
        _TEST_TIERS,
    ),
    Safeguard(
        'a far region costs less than a failed request',
        _TIERS,
        'return min(max(ratio, 1) * REMOTE_ZONE_COST, MAX_REGION_COST)',
        'return max(ratio, 1) * REMOTE_ZONE_COST',
        _TEST_TIERS,
    ),
    Safeguard(
        'a zone without a region is the farthest',
        _TIERS,
        '        if region is None:\n            return MAX_REGION_COST',
        '        if region is None:\n            return REMOTE_ZONE_COST',
        _TEST_TIERS,
    ),
    Safeguard(
        'a late answer to a probe counts little',
        'guavagate/membership/_round_trips.py',
        'rise = max(seconds - usual, 0) * _SMOOTHING',
        'rise = max(seconds - usual, 0)',
        'tests/membership/test_round_trips.py',
    ),
)
