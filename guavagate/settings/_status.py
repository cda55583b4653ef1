"""Collects the revision in force on each instance."""

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

_TIMEOUT_SECONDS: Final = 2.0
_MAX_CONCURRENT: Final = 32
_PEERS_STALE_SECONDS: Final = 5.0


class InstanceStatus(msgspec.Struct, frozen=True, kw_only=True):
    """The revision of one team's settings on one instance.

    Parameters
    ----------
    lag
        Why the instance lags behind; empty if it does not.
    alive
        False for a configured peer that is no longer a live member; it serves
        no requests.
    """

    instance: InstanceId
    alive: bool = True
    revision: Revision | None
    is_relay: bool = False
    lag: str = ''


def collect_status(
    bus: Bus,
    team: TeamId,
    own_id: InstanceId,
    own_answer: SettingsRevisions,
    peers: dict[InstanceId, bool],
) -> list[InstanceStatus]:
    """Query all instances; those without an answer are listed too."""

    def request_revisions(peer: InstanceId) -> SettingsRevisions | str:
        if not peers[peer]:
            return 'not alive: stopped, or this instance does not hear it'
        try:
            return bus.request(
                peer,
                SettingsRevisionsAsk(team=team),
                SettingsRevisions,
                _TIMEOUT_SECONDS,
            )
        except LinkError as error:
            return f'no answer: {error.problem}'

    names = sorted(peers)
    answers = dict(
        zip(
            names,
            Pool(_MAX_CONCURRENT).map(request_revisions, names),
            strict=True,
        )
    )
    answers[own_id] = own_answer
    newest = max(
        _revision(answer, team)
        for answer in answers.values()
        if isinstance(answer, SettingsRevisions)
    )
    statuses = [
        _make_status(instance, answers[instance], team, newest)
        for instance in sorted(answers)
    ]
    return [
        msgspec.structs.replace(status, alive=peers.get(status.instance, True))
        for status in statuses
    ]


def _make_status(
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
        lag = _explain_lag(answer, newest)
    return InstanceStatus(
        instance=instance,
        revision=revision,
        is_relay=answer.is_relay,
        lag=lag,
    )


def _explain_lag(answer: SettingsRevisions, newest: Revision) -> str:
    seconds = answer.heard_peers
    if seconds is None or seconds > _PEERS_STALE_SECONDS:
        return f'has not heard a peer lately, so lacks revision {newest}'
    return f'revision {newest} is on its way'


def _revision(answer: SettingsRevisions, team: TeamId) -> Revision:
    return Revision(answer.revisions.get(team, 0))
