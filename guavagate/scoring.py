"""Scores samples with a team's scoring service; each call needs a permit."""

import uuid
from typing import Final

from guavagate.decisions import Work, WorkKind
from guavagate.exceptions import UpstreamError
from guavagate.integrations.scoring_service import HttpScoringService
from guavagate.models import CallerId, RequestId, SampleId, ServiceId, TeamId
from guavagate.permits import PermitClient, Release
from guavagate.runtime import Runtime

SCORE_TIMEOUT_SECONDS: Final = 10.0
SCORE_DEADLINE_SECONDS: Final = 60.0


class Scorer:
    """Scores samples; scoring is idempotent, so a retry is safe."""

    def __init__(self, runtime: Runtime, permits: PermitClient) -> None:
        self._runtime = runtime
        self._permits = permits
        self._service = HttpScoringService(runtime.clock)

    def score(
        self,
        team: TeamId,
        service: ServiceId,
        sample_id: SampleId,
        prompt: str,
        text: str,
    ) -> float:
        """Return a sample's score.

        Raises
        ------
        GuavagateError
            No upstream of the service returned a score.
        """
        work = Work(
            id=RequestId(f'score-{uuid.uuid4().hex}'),
            team=team,
            caller=CallerId('scoring'),
            kind=WorkKind.ROLLOUT,
            deadline=self._runtime.clock.now() + SCORE_DEADLINE_SECONDS,
            expected_tokens=1,
        )
        permit = self._permits.acquire(f'{team}/{service}/0', work)
        release = Release.CANCELLED
        started_at = self._runtime.clock.now()
        try:
            score = self._service.score(
                permit.address, sample_id, prompt, text, SCORE_TIMEOUT_SECONDS
            )
            release = Release.DONE
        except UpstreamError as error:
            release = Release.FAILED
            seconds = self._runtime.clock.now() - started_at
            self._permits.record_failure(permit, work, error, seconds)
            raise
        finally:
            seconds = self._runtime.clock.now() - started_at
            self._permits.release(permit, release, tokens=1, seconds=seconds)
        return score
