"""Mutations of what matches answers to exchanges, and bounds their bytes."""

from typing import Final

from standins._safeguard_rows import Safeguard

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
        'guavagate/http1/_answer.py',
        'MAX_INTERIM_ANSWERS: Final = 16',
        'MAX_INTERIM_ANSWERS: Final = 10**9',
        'tests/platform/test_answer_ownership.py',
    ),
    Safeguard(
        'an event without end is cut',
        'guavagate/helpers/event_stream.py',
        'len(rest) > MAX_EVENT_BYTES or size > MAX_STREAM_BYTES',
        'False',
        'tests/platform/test_answer_ownership.py',
    ),
)
