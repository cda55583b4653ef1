"""Decodes batch submissions into jobs and encodes their results."""

import base64
import binascii
from collections.abc import Container
from typing import Any, Final

import msgspec
import xxhash

from guavagate.helpers.decoding import decode_json
from guavagate.helpers.numbers import WholeNumber, parse_whole_number
from guavagate.jobs import (
    BadJobError,
    GroupId,
    ItemId,
    Job,
    JobId,
    JobItem,
    Page,
    PromptPrefix,
    Result,
    check_items,
)
from guavagate.models import ServiceId, TeamId, WeightVersion
from guavagate.platform import const
from guavagate.ports.configuration import Route
from guavagate.ports.rewards import RewardRequest


class _Scorer(msgspec.Struct):
    id: str
    host: str
    path: str
    body: str = ''


class _Item(msgspec.Struct, rename='kebab'):
    id: str
    path: str
    headers: dict[str, str] = {}
    body: str = ''
    tokens: WholeNumber = 0
    group_id: str = ''
    scorer: _Scorer | None = None


class _Submission(msgspec.Struct, rename='kebab'):
    items: list[_Item]
    step: WholeNumber = 0
    model: str = ''
    min_version: WholeNumber = 0
    # The number of complete groups the trainer waits for; it may send more.
    target_groups: WholeNumber = 0


_NO_TEAM: Final = TeamId('')
_MAX_ID: Final = 200
# Longer numbers are no counts of tokens.
_MAX_DIGITS: Final = 9


def decode_submission(
    request_id: str,
    body: bytes,
    route: Route,
    service: ServiceId,
    now: float,
    hosts: Container[str] = (),
    team: TeamId = _NO_TEAM,
) -> Job:
    """Return the job of a submission; `now` in Unix seconds.

    `hosts` of the configuration in force are those that reward requests may
    name; `team` is the team whose key the trainer sent.

    Raises
    ------
    BadJobError
        The submission is invalid; none of its items runs.
    """
    if not request_id or len(request_id) > _MAX_ID or '/' in request_id:
        raise BadJobError('send an id of 1 to 200 characters without a slash')
    try:
        submission = decode_json(body, _Submission)
    except msgspec.MsgspecError as error:
        raise BadJobError(f'correct the body: {error}') from error
    items = [_to_item(each) for each in submission.items]
    check_items(items, hosts)
    return Job(
        id=JobId(request_id),
        host=route.host,
        path=route.prefix,
        service=service,
        model=submission.model,
        step=submission.step,
        min_version=WeightVersion(submission.min_version),
        target_groups=submission.target_groups,
        submitted_at=now,
        fingerprint=xxhash.xxh3_128_hexdigest(body),
        max_attempts=route.max_attempts,
        item_ttl=route.item_ttl,
        objective=route.job_objective,
        single_version=route.single_version,
        items=items,
        team=team,
    )


def encode_page(page: Page) -> bytes:
    """Return a page of results as JSON."""
    return msgspec.json.encode(
        {
            'total': page.total,
            'next': page.next,
            'results': [_encode_result(each) for each in page.results],
        }
    )


def _encode_result(result: Result) -> dict[str, Any]:
    encoded = {
        'id': result.id,
        'state': result.state.value,
        'text': result.text,
        'versions': result.versions,
    }
    if result.signature:
        encoded['score'] = result.signature
    return encoded


def _to_item(item: _Item) -> JobItem:
    body = _decode_body(item.body, f'item {item.id}')
    counts = _read_numbers(_read_header(item.headers, const.TOKEN_COUNT))
    hint = _read_header(item.headers, const.LENGTH_HINT)
    return JobItem(
        id=ItemId(item.id),
        path=item.path,
        headers=item.headers,
        body=body,
        tokens=item.tokens,
        expected_tokens=_read_numbers(hint)[0],
        prompt_tokens=counts[0],
        max_output_tokens=counts[1] if len(counts) > 1 else 0,
        prompt_prefixes=_read_prefixes(
            _read_header(item.headers, const.PROMPT_PREFIX)
        ),
        group=GroupId(item.group_id or item.id),
        reward=None if item.scorer is None else _to_reward(item.scorer),
    )


def _to_reward(scorer: _Scorer) -> RewardRequest:
    return RewardRequest(
        id=scorer.id,
        host=scorer.host,
        path=scorer.path,
        body=_decode_body(scorer.body, f'scorer {scorer.id}'),
    )


def _decode_body(text: str, label: str) -> bytes:
    try:
        return base64.b64decode(text, validate=True)
    except (binascii.Error, ValueError) as error:
        raise BadJobError(f'{label}: its body is no base64') from error


def _read_header(headers: dict[str, str], name: str) -> str:
    """Return the value of a header in any case; empty if it is missing."""
    for key, value in headers.items():
        if key.lower() == name:
            return value
    return ''


def _read_numbers(text: str) -> list[int]:
    """Return numbers separated by commas; 0 in place of an invalid one."""
    return [
        parse_whole_number(each.strip(), _MAX_DIGITS) or 0
        for each in text.split(',')
    ]


def _read_prefixes(text: str) -> tuple[PromptPrefix, ...]:
    """Return the valid `ID:TOKENS` of a list, each id once."""
    prefixes: dict[str, PromptPrefix] = {}
    for each in text.split(','):
        name, _, tokens = each.strip().rpartition(':')
        count = _read_numbers(tokens)[0]
        if name and count:
            prefixes.setdefault(name, PromptPrefix(name, count))
    return tuple(prefixes.values())
