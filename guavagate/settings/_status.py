"""The revision in force on each instance, collected from them all."""

from typing import Final

import msgspec
from gevent.pool import Pool

from guavagate.exceptions import LinkError
from guavagate.links import Bus
from guavagate.models import InstanceId, Revision, TeamId
from guavagate.settings._messages import (
    SettingsRevisions,
    SettingsRevisionsAsk,
)

_TIMEOUT: Final = 2.0
_AT_ONCE: Final = 32
_OLD: Final = 5.0


class InstanceStatus(msgspec.Struct, frozen=True, kw_only=True):
    """One instance's settings.

    Parameters
    ----------
    lag
        Why it is behind, if it is.
    alive
        False for a configured peer that no longer takes part; what it holds
        serves nobody.
    """

    instance: InstanceId
    alive: bool = True
    revision: Revision | None
    is_relay: bool = False
    lag: str = ''


def collect_status(
    bus: Bus,
    team: TeamId,
    me: InstanceId,
    mine: SettingsRevisions,
    peers: dict[InstanceId, bool],
) -> list[InstanceStatus]:
    """Ask every instance; who gives no answer is named, not left out."""

    def ask(peer: InstanceId) -> SettingsRevisions | str:
        if not peers[peer]:
            return 'not alive: stopped, or this instance does not hear it'
        try:
            return bus.request(
                peer,
                SettingsRevisionsAsk(team=team),
                SettingsRevisions,
                _TIMEOUT,
            )
        except LinkError as error:
            return f'no answer: {error.problem}'

    names = sorted(peers)
    answers = dict(zip(names, Pool(_AT_ONCE).map(ask, names), strict=True))
    answers[me] = mine
    newest = max(
        _revision(answer, team)
        for answer in answers.values()
        if isinstance(answer, SettingsRevisions)
    )
    judged = [
        _judge(instance, answers[instance], team, newest)
        for instance in sorted(answers)
    ]
    return [
        msgspec.structs.replace(one, alive=peers.get(one.instance, True))
        for one in judged
    ]


def _judge(
    instance: InstanceId,
    answer: SettingsRevisions | str,
    team: TeamId,
    newest: Revision,
) -> InstanceStatus:
    if isinstance(answer, str):
        return InstanceStatus(instance=instance, revision=None, lag=answer)
    revision = _revision(answer, team)
    lag = '; '.join(answer.waits_for)
    if not lag and revision < newest:
        lag = _tell_lag(answer, newest)
    return InstanceStatus(
        instance=instance,
        revision=revision,
        is_relay=answer.is_relay,
        lag=lag,
    )


def _tell_lag(answer: SettingsRevisions, newest: Revision) -> str:
    heard = answer.heard_peers
    if heard is None or heard > _OLD:
        return f'has not heard a peer lately, so lacks revision {newest}'
    return f'revision {newest} is on its way'


def _revision(answer: SettingsRevisions, team: TeamId) -> Revision:
    return Revision(answer.revisions.get(team, 0))
