"""Has samples scored by a team's scoring service, under its permits."""

import uuid
from typing import Final

from guavagate.decisions import Kind, Work
from guavagate.exceptions import UpstreamError
from guavagate.integrations.scoring_service import HttpScoringService
from guavagate.models import CallerId, RequestId, SampleId, ServiceId, TeamId
from guavagate.permits import PermitClient, Release
from guavagate.runtime import Runtime

SCORE_TIMEOUT: Final = 10.0
SCORE_DEADLINE: Final = 60.0


class Scorer:
    """Scores samples; scoring is idempotent."""

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
            No upstream of the service gave a score.
        """
        work = Work(
            id=RequestId(f'score-{uuid.uuid4().hex}'),
            team=team,
            caller=CallerId('scoring'),
            kind=Kind.ROLLOUT,
            deadline=self._runtime.clock.now() + SCORE_DEADLINE,
            expected_tokens=1,
        )
        permit = self._permits.acquire(f'{team}/{service}/0', work)
        ended = Release.CANCELLED
        begun = self._runtime.clock.now()
        try:
            score = self._service.score(
                permit.address, sample_id, prompt, text, SCORE_TIMEOUT
            )
            ended = Release.DONE
        except UpstreamError:
            ended = Release.FAILED
            raise
        finally:
            seconds = self._runtime.clock.now() - begun
            self._permits.release(permit, ended, tokens=1, seconds=seconds)
        return score
