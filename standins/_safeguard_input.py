"""Mutations of what checks bytes from outside, and of late requests."""

from typing import Final

from standins._safeguard_rows import Safeguard

_HEADS: Final = 'guavagate/http1/_answer_head.py'
_HEAD_TESTS: Final = 'tests/http1/test_answer_heads.py'
_SOCKET: Final = 'guavagate/http1/_upstream_socket.py'
_ANSWER: Final = 'guavagate/http1/_answer.py'
_ENDLESS_TESTS: Final = 'tests/http1/test_endless_answers.py'
_EXCHANGE: Final = 'guavagate/http1/_exchange.py'
_STOP_TESTS: Final = 'tests/http1/test_stop.py'
_LENIENT: Final = 'guavagate/helpers/lenient.py'
_LENIENT_TESTS: Final = 'tests/helpers/test_lenient.py'
_PACKET: Final = 'guavagate/membership/_packet.py'
_PACKET_TESTS: Final = 'tests/membership/test_odd_packets.py'

INPUT_SAFEGUARDS: Final = (
    Safeguard(
        'a reset that the write met is no end of an answer',
        _SOCKET,
        'if self.has_ended and self.is_broken:',
        'if False:',
        'tests/http1/test_cut_answers.py',
    ),
    Safeguard(
        'a connection that broke is not used again',
        'guavagate/http1/_client.py',
        '            or connection.sock.is_broken\n',
        '',
        'tests/http1/test_cut_answers.py',
    ),
    Safeguard(
        'a status is one of HTTP',
        _HEADS,
        '([1-5][0-9]{2})',
        '([0-9]{3})',
        _HEAD_TESTS,
    ),
    Safeguard(
        'a line of a head is a field',
        _HEADS,
        '    if field is None:\n',
        '    if field is None and b":" not in line:\n',
        _HEAD_TESTS,
    ),
    Safeguard(
        'a body is coded in chunks or not at all',
        _HEADS,
        '    if not is_chunkable or ',
        '    if ',
        _HEAD_TESTS,
    ),
    Safeguard(
        'a head without end is cut',
        _HEADS,
        'elif len(self._received) > MAX_HEAD_BYTES:',
        'elif False:',
        _ENDLESS_TESTS,
    ),
    Safeguard(
        'bytes without end are cut for the adapters',
        _SOCKET,
        'if self._bytes_left < 0:',
        'if False:',
        _ENDLESS_TESTS,
    ),
    Safeguard(
        'a body of tiny parts is cut',
        _ANSWER,
        'if small_parts > MAX_SMALL_PARTS:',
        'if False:',
        _ENDLESS_TESTS,
    ),
    Safeguard(
        'other tasks run while an answer is read',
        _ANSWER,
        '        self._work.count()\n',
        '        pass\n',
        _ENDLESS_TESTS,
    ),
    Safeguard(
        'blank blocks without end break the stream',
        'guavagate/helpers/event_stream.py',
        'if self._blank_blocks > MAX_BLANK_BLOCKS:',
        'if False:',
        'tests/helpers/test_endless_streams.py',
    ),
    Safeguard(
        'a text that can not be stored starts over',
        'guavagate/jobs/texts/_runner.py',
        'if progress.text.size > self._max_text_bytes:',
        'if False:',
        'tests/jobs/texts/test_texts.py',
    ),
    Safeguard(
        "a decoder's errors are of one type",
        'guavagate/helpers/decoding.py',
        'except (RecursionError, ValueError, OverflowError) as error:',
        'except OverflowError as error:',
        'tests/helpers/test_decoding.py',
    ),
    Safeguard(
        'a value that is nested too deeply hides no other',
        _LENIENT,
        'numbers(drop_deep_values(text, value_nesting))',
        'numbers(text)',
        _LENIENT_TESTS,
    ),
    Safeguard(
        'a number out of range hides no other value',
        _LENIENT,
        'return number if math.isfinite(number) else None',
        'return number',
        _LENIENT_TESTS,
    ),
    Safeguard(
        "a peer's odd error fails its request only",
        'guavagate/links/_envelope.py',
        '    except ValueError as error:\n',
        '    except KeyError as error:\n',
        'tests/links/test_odd_messages.py',
    ),
    Safeguard(
        'a claim of an unknown state is left out',
        _PACKET,
        'return state in _STATES and incarnation <= MAX_INCARNATION',
        'return incarnation <= MAX_INCARNATION',
        _PACKET_TESTS,
    ),
    Safeguard(
        'nothing is sent to what is no address',
        'guavagate/membership/_members.py',
        'except (OSError, ValueError) as error:',
        'except OSError as error:',
        _PACKET_TESTS,
    ),
    Safeguard(
        'a port is in range',
        'guavagate/helpers/addresses.py',
        ' or port > MAX_PORT:',
        ':',
        'tests/http1/test_odd_addresses.py',
    ),
    Safeguard(
        'a list without its other pages is none',
        'guavagate/platform/_store.py',
        'if not read or read[-1].metadata.name == after:',
        'if not read:',
        'tests/platform/test_store_lists.py',
    ),
    Safeguard(
        'a job has only requests that can be sent',
        'guavagate/jobs/_validity.py',
        '        _check_item(item)\n',
        '        pass\n',
        'tests/jobs/test_validity.py',
    ),
    Safeguard(
        'a header that is set here replaces that of a trainer',
        'guavagate/platform/_dialect.py',
        '        if each[0].lower() not in replaced\n    ]\n    return [*kept',
        '    ]\n    return [*kept',
        'tests/platform/test_item_headers.py',
    ),
    Safeguard(
        'a request that a stop would cut is not passed on',
        _EXCHANGE,
        'return now + seconds <= self._connection.get_end()',
        'return True',
        'tests/planned_stop/test_late_requests.py',
    ),
    Safeguard(
        'a request that is granted too late is not sent',
        'guavagate/front/_requests.py',
        '        if late is not None:\n',
        '        if False:\n',
        'tests/admission/test_planned_stop.py',
    ),
    Safeguard(
        'a request that still runs when the stop ends is answered',
        'guavagate/http1/_server.py',
        '                exchange.answer_unfinished()\n',
        '                pass\n',
        _STOP_TESTS,
    ),
    Safeguard(
        'a handler is woken when the stop ends',
        'guavagate/http1/_server.py',
        '            exchange.interrupt()\n',
        '',
        _STOP_TESTS,
    ),
    Safeguard(
        'a request that may have run is not said to be not run',
        'guavagate/forwarding/_answers.py',
        'if exchange.interrupted and outcome.began_at is None:',
        'if exchange.interrupted:',
        'tests/admission/test_planned_stop.py',
    ),
    Safeguard(
        'a late request to an instance of the product is refused',
        'guavagate/instance.py',
        '        self.active.refusing = True\n',
        '',
        'tests/planned_stop/test_product_interface.py',
    ),
    Safeguard(
        'an answer that is broken off does not look whole',
        _EXCHANGE,
        'if self._ends_with_connection and not self.ended:',
        'if False:',
        'tests/http1/test_broken_off_answers.py',
    ),
)
