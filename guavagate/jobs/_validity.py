"""Checks that all requests of a job can be sent, before it is accepted.

A request that HTTP can't carry is refused by no sampler and run by none, so its
item would be tried until it expires, and each sampler tried would seem to
refuse work.
"""

import re
from collections.abc import Container
from typing import Final

from guavagate.jobs._models import JobItem
from guavagate.ports.rewards import RewardRequest

MAX_ID_CHARACTERS: Final = 200
MAX_REWARD_BYTES: Final = 1_000_000
# A request target (RFC 9112, 3.2.1), and an id or a host, which are sent as
# values of headers.
_TARGET: Final = re.compile('/[!-~]*')
_WORD: Final = re.compile('[!-~]+')
_HEADER_NAME: Final = re.compile("[-!#$%&'*+.^_`|~0-9A-Za-z]+")
_HEADER_VALUE: Final = re.compile('[\t\x20-\x7e\x80-\xff]*')


class BadJobError(Exception):
    """The submission is invalid; the message says what to correct."""


def check_items(items: list[JobItem], hosts: Container[str] = ()) -> None:
    """Check the items of a job that was submitted.

    Parameters
    ----------
    hosts
        Those that reward requests may name, in lower case.

    Raises
    ------
    BadJobError
        An item is not valid, or there is none.
    """
    if not items:
        raise BadJobError('send at least one item')
    if len({each.id for each in items}) < len(items):
        raise BadJobError('give each item an id of its own')
    for item in items:
        _check_item(item)
    rewards = [each.reward for each in items if each.reward is not None]
    if len({each.id for each in rewards}) < len(rewards):
        raise BadJobError('give each scorer an id of its own')
    for reward in rewards:
        _check_reward(reward, hosts)


def _check_item(item: JobItem) -> None:
    label = f'item {item.id!r}'
    _check_id(item.id, label)
    _check_path(item.path, label)
    for name, value in item.headers.items():
        if not _HEADER_NAME.fullmatch(name):
            raise BadJobError(f'{label}: {name!r} is no name of a header')
        if not _HEADER_VALUE.fullmatch(value):
            raise BadJobError(f'{label}: header {name} has no valid value')


def _check_reward(reward: RewardRequest, hosts: Container[str]) -> None:
    label = f'scorer {reward.id!r}'
    _check_id(reward.id, label)
    _check_path(reward.path, label)
    if len(reward.body) > MAX_REWARD_BYTES:
        raise BadJobError(f'{label}: send a body of at most 1 MB')
    is_known = reward.host.partition(':')[0].lower() in hosts
    if not is_known or not _WORD.fullmatch(reward.host):
        raise BadJobError(f'{label}: no route has the host {reward.host!r}')


def _check_id(text: str, label: str) -> None:
    if len(text) > MAX_ID_CHARACTERS or not _WORD.fullmatch(text):
        raise BadJobError(
            f'{label}: send an id of 1 to {MAX_ID_CHARACTERS} characters,'
            ' in ASCII and without spaces'
        )


def _check_path(path: str, label: str) -> None:
    if not _TARGET.fullmatch(path):
        raise BadJobError(f'{label}: send a path of /, ASCII and no spaces')
