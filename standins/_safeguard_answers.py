"""Mutations of what matches answers to exchanges, and bounds their bytes."""

from typing import Final

from standins._safeguard_rows import Safeguard

_PARSER: Final = 'guavagate/helpers/event_stream.py'
_PARSER_TESTS: Final = 'tests/helpers/test_event_stream.py'

ANSWER_SAFEGUARDS: Final = (
    Safeguard(
        'an answer without an id is no answer to a request',
        'guavagate/platform/_answers.py',
        'return answer.status not in _SUCCESS and not answer.reused\n\n\n'
        'def is_signed',
        'return True\n\n\ndef is_signed',
        'tests/platform/test_answer_ownership.py',
    ),
    Safeguard(
        'a success without a signature is not passed on',
        'guavagate/platform/_answers.py',
        'return bool(answer.get_header(const.SEAL.lower()))',
        'return True',
        'tests/platform/test_answer_ownership.py',
    ),
    Safeguard(
        'a probe takes its own answer only',
        'guavagate/platform/_dialect.py',
        'return answers_probe(upstream.id, answer)',
        'return True',
        'tests/platform/test_answer_ownership.py',
    ),
    Safeguard(
        'a report takes its own answer only',
        'guavagate/platform/_samplers.py',
        '            is_own=answers_report,\n',
        '',
        'tests/platform/test_answer_ownership.py',
    ),
    Safeguard(
        'an order takes its own answer only',
        'guavagate/platform/_samplers.py',
        '            is_own=answers_order,\n',
        '',
        'tests/platform/test_answer_ownership.py',
    ),
    Safeguard(
        'a body without end is cut',
        'guavagate/http1/_client.py',
        '        if size > limit:\n            return False\n',
        '',
        'tests/platform/test_answer_ownership.py',
    ),
    Safeguard(
        'interim answers without end are cut',
        'guavagate/http1/_answer_head.py',
        'MAX_INTERIM_ANSWERS: Final = 16',
        'MAX_INTERIM_ANSWERS: Final = 10**9',
        'tests/platform/test_answer_ownership.py',
    ),
    Safeguard(
        'an event without end is cut',
        _PARSER,
        'if len(self._rest) > MAX_EVENT_BYTES:',
        'if False:',
        _PARSER_TESTS,
    ),
    Safeguard(
        'a stream without end is cut',
        _PARSER,
        'if size > MAX_STREAM_BYTES:',
        'if False:',
        'tests/platform/test_item_streams.py',
    ),
    Safeguard(
        'a block with a line that no event has is foreign',
        _PARSER,
        'set(names[1:]) != {_DATA}',
        'False',
        _PARSER_TESTS,
    ),
    Safeguard(
        'an event has the next number',
        _PARSER,
        'if event.number == self.last_number + 1:',
        'if True:',
        _PARSER_TESTS,
    ),
    Safeguard(
        'a stream does not end with a foreign block',
        _PARSER,
        '        if self._foreign_blocks:\n',
        '        if False:\n',
        _PARSER_TESTS,
    ),
    Safeguard(
        'a stream does not end before an event that was left out',
        _PARSER,
        'if self._highest_number > self.last_number:',
        'if False:',
        _PARSER_TESTS,
    ),
    Safeguard(
        'foreign blocks without end break the stream',
        _PARSER,
        'if self._foreign_blocks > MAX_FOREIGN_BLOCKS:',
        'if False:',
        _PARSER_TESTS,
    ),
    Safeguard(
        'an event with two contents breaks the stream',
        _PARSER,
        'if event.number <= self.last_number and block != self._last_block:',
        'if False:',
        _PARSER_TESTS,
    ),
    Safeguard(
        'a damaged piece of an engine is missing from its text',
        'guavagate/integrations/model_engine/_client.py',
        '                if not is_blank(event):\n'
        '                    yield None\n',
        '',
        'tests/test_model_engine.py',
    ),
    Safeguard(
        'only ASCII digits are a number',
        'guavagate/helpers/numbers.py',
        'not text.isascii() or not text.isdigit()',
        'not text.isdigit()',
        'tests/helpers/test_numbers.py',
    ),
    Safeguard(
        'a number has a bounded length',
        'guavagate/helpers/numbers.py',
        ' or len(text) > max_digits',
        '',
        'tests/helpers/test_numbers.py',
    ),
    Safeguard(
        'pauses after many failures do not overflow',
        'guavagate/util/backoff.py',
        'min(failures - 1, _MAX_DOUBLINGS)',
        'failures - 1',
        'tests/util/test_backoff.py',
    ),
    Safeguard(
        'changed settings do not end a process that starts',
        'guavagate/daemon.py',
        'early_reloads = record_early_signals(signal.SIGHUP)',
        'early_reloads: list[int] = []',
        'tests/standins/test_signals_at_start.py',
    ),
    Safeguard(
        'a text starts over if its stream contradicts itself',
        'guavagate/jobs/texts/_runner.py',
        '        except ContradictoryStreamError:\n'
        '            progress.text = Text()\n'
        '            raise\n',
        '',
        'tests/jobs/texts/test_texts.py',
    ),
    Safeguard(
        'a stream without a weight version is not used',
        _PARSER,
        'version = parse_whole_number(header)\n',
        'version = parse_whole_number(header) or 0\n',
        'tests/platform/test_item_streams.py',
    ),
)
