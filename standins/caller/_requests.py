"""Sends each kind of request and parses the answer."""

from collections.abc import Iterator
from typing import Any, Final

import msgspec

from guavagate.const import HEADER_DEADLINE, HEADER_IDEMPOTENCY_KEY
from guavagate.exceptions import UpstreamError
from standins import _http
from standins.text import tag_prompt

PROMPTS: Final = (
    'Draft the consent conditions for a brewery that discharges to the sewer',
    'Draft the consent conditions for a tannery with a chrome recovery plant',
    'Plan eight weeks of sessions for a member who returns after an injury',
    'Plan a session for a clinic group of twelve without equipment',
)
_DATA: Final = b'data: '
_DEADLINE_MS: Final = '10000'
_DONE: Final = b'[DONE]'


class Request(msgspec.Struct, frozen=True, kw_only=True):
    """One attempt of a request; upstreams record its `name`."""

    kind: str
    name: str
    prompt: int = 0
    key: str = ''
    model: str = ''
    service: str = ''
    max_tokens: int = 32


class Answered(msgspec.Struct, frozen=True, kw_only=True):
    """A complete answer and the weight versions that it names."""

    text: str
    versions: tuple[int, ...] = ()


class Refused(msgspec.Struct, frozen=True, kw_only=True):
    """A refusal, parsed from its response."""

    status: int
    reason: str
    not_run: str
    retry_after: float


Result = Answered | Refused


def send(address: str, token: str, request: Request, timeout: float) -> Result:
    """Send one attempt; raise `UpstreamError` if no complete answer came."""
    headers = {
        'Authorization': f'Bearer {token}',
        HEADER_DEADLINE: _DEADLINE_MS,
    }
    if request.key:
        headers[HEADER_IDEMPOTENCY_KEY] = request.key
    if request.kind == 'chat':
        return _send_chat(address, headers, request, timeout)
    if request.kind == 'completion':
        return _send_completion(address, headers, request, timeout)
    return _send_service(address, headers, request, timeout)


def _send_completion(
    address: str, headers: _http.Headers, request: Request, timeout: float
) -> Result:
    """Request a completion without streaming."""
    body = {
        'model': request.model,
        'prompt': tag_prompt(PROMPTS[request.prompt], request.name),
        'max_tokens': request.max_tokens,
    }
    answer = _http.send_request(
        address,
        'POST',
        '/v1/completions',
        body,
        headers=headers,
        timeout=timeout,
    )
    if answer.status != 200:
        return parse_refusal(answer)
    completion = answer.decode()
    return Answered(
        text=completion['choices'][0]['text'],
        versions=_parse_versions(completion),
    )


def _send_chat(
    address: str, headers: _http.Headers, request: Request, timeout: float
) -> Result:
    """Request a streamed chat completion."""
    text = tag_prompt(PROMPTS[request.prompt], request.name)
    body = {
        'model': request.model,
        'messages': [{'role': 'user', 'content': text}],
        'max_tokens': request.max_tokens,
        'stream': True,
    }
    answer = _http.CONNECTIONS.send(
        address,
        'POST',
        '/v1/chat/completions',
        body=msgspec.json.encode(body),
        headers=headers,
        timeout=timeout,
        reuse=False,
    )
    try:
        if answer.status_code != 200:
            data = _http.CONNECTIONS.read(address, answer, timeout)
            return parse_refusal(_http.Response(answer.status_code, {}, data))
        return _join_events(list(_read_events(address, answer, timeout)))
    finally:
        answer.release()


def _read_events(
    address: str, answer: Any, timeout: float
) -> Iterator[dict[str, Any]]:
    """Yield the events of a stream; raise if it ends without ``[DONE]``."""
    while line := _http.CONNECTIONS.read_until(
        b'\n\n', address, answer, timeout
    ):
        if not line.startswith(_DATA):
            continue
        data = line[len(_DATA) :].strip()
        if data == _DONE:
            return
        yield msgspec.json.decode(data)
    raise UpstreamError(
        f'{address} ended the stream without [DONE]',
        'retry at another instance',
    )


def _join_events(events: list[dict[str, Any]]) -> Result:
    """Assemble the answer from the events of a stream."""
    parts = []
    versions: tuple[int, ...] = ()
    for event in events:
        for choice in event.get('choices', ()):
            parts.append(choice.get('delta', {}).get('content', ''))
        versions = _parse_versions(event) or versions
    return Answered(text=''.join(parts), versions=versions)


def _send_service(
    address: str, headers: _http.Headers, request: Request, timeout: float
) -> Result:
    """Call a plain service; the path contains the request's name."""
    writes = request.kind == 'write'
    resource = 'renewals' if writes else 'slots'
    answer = _http.send_request(
        address,
        'POST' if writes else 'GET',
        f'/v1/services/{request.service}/{resource}/{request.name}',
        b'renew' if writes else None,
        headers=headers,
        timeout=timeout,
    )
    if answer.status != 200:
        return parse_refusal(answer)
    return Answered(text=answer.body.decode())


def parse_refusal(answer: _http.Response) -> Refused:
    """Parse a refusal."""
    body = answer.decode()
    error = body.get('error', {}) if isinstance(body, dict) else {}
    return Refused(
        status=answer.status,
        reason=str(error.get('code', answer.status)),
        not_run=str(error.get('not_run', 'unknown')),
        retry_after=float(error.get('retry_after') or 0.5),
    )


def _parse_versions(event: dict[str, Any]) -> tuple[int, ...]:
    """Return the weight versions in the provenance of an answer."""
    provenance = event.get('guavagate') or {}
    return tuple(version for version, _ in provenance.get('versions', ()))
