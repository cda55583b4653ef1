"""Decides whether an answer belongs to the exchange that waits for it.

A faulty upstream may send an answer twice, or send it late, where the next one
on its connection is due. What takes it for its own gets another exchange's
answer, and so does each one after it on that connection. Each kind of exchange
is recognized by what its answers carry; what carries nothing is believed only
on a connection that has carried no other exchange.
"""

from guavagate.http1 import Answer
from guavagate.models import UpstreamId
from guavagate.platform import const

_OK = 200
_MISDIRECTED = 421
_SUCCESS = range(200, 300)
_JSON = 'application/json'


def answers_request(request_id: str, answer: Answer) -> bool:
    """Return whether an answer is the one to a request or an item."""
    echoed = answer.get_header(const.REQUEST_ID.lower())
    if echoed:
        return echoed == request_id
    return answer.status not in _SUCCESS and not answer.reused


def is_signed(answer: Answer) -> bool:
    """Return whether a successful answer has its upstream's signature."""
    if answer.status not in _SUCCESS:
        return True
    return bool(answer.get_header(const.SEAL.lower()))


def answers_probe(upstream: UpstreamId, answer: Answer) -> bool:
    """Return whether an answer is the one to a probe of an upstream."""
    if _answers_some_request(answer):
        return False
    sender = answer.get_header(const.INSTANCE.lower())
    if sender:
        return sender == upstream or answer.status == _MISDIRECTED
    return answer.status != _OK and not answer.reused


def answers_report(answer: Answer) -> bool:
    """Return whether an answer is the one to a call for a report."""
    if _answers_some_request(answer) or _answers_some_probe(answer):
        return False
    if answer.status == _OK:
        return _is_json(answer)
    return answer.status not in _SUCCESS and not answer.reused


def answers_order(answer: Answer) -> bool:
    """Return whether an answer is the one to an order.

    Reports have the same marks, but a body.
    """
    if _answers_some_request(answer) or _answers_some_probe(answer):
        return False
    return not (answer.reused and _is_json(answer))


def _answers_some_request(answer: Answer) -> bool:
    marks = (const.REQUEST_ID.lower(), const.SEAL.lower())
    return any(answer.get_header(each) for each in marks)


def _answers_some_probe(answer: Answer) -> bool:
    sender = answer.get_header(const.INSTANCE.lower())
    return bool(sender) and answer.status != _MISDIRECTED


def _is_json(answer: Answer) -> bool:
    return answer.get_header(b'content-type').startswith(_JSON)
