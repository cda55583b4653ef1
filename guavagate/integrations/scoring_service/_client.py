"""The adapter from the scoring port to HTTP."""

import msgspec

from guavagate.clock import Clock
from guavagate.exceptions import UpstreamError
from guavagate.integrations._errors import make_error, make_malformed_error
from guavagate.integrations._http import Connections
from guavagate.integrations.scoring_service import const
from guavagate.integrations.scoring_service.models import (
    ScoreAnswer,
    ScoreRequest,
)
from guavagate.models import SampleId


class HttpScoringService:
    """Speaks to all scoring services of one instance.

    Parameters
    ----------
    clock
        Bounds every wait.
    """

    def __init__(self, clock: Clock) -> None:
        self._connections = Connections(clock)

    def score(
        self,
        address: str,
        sample_id: SampleId,
        prompt: str,
        text: str,
        timeout: float,
    ) -> float:
        """Return a sample's score.

        Raises
        ------
        UpstreamNotStartedError
            The service certainly has not started.
        UpstreamError
            It failed, was too late, or answered for another sample.
        """
        wanted = ScoreRequest(sample_id, prompt, text)
        answer = self._connections.send(
            address,
            'POST',
            const.PATH_SCORE,
            body=msgspec.json.encode(wanted),
            headers={'Content-Type': 'application/json'},
            timeout=timeout,
        )
        data = self._connections.read(address, answer, timeout)
        if answer.status_code != 200:
            raise make_error(address, answer.status_code, data)
        try:
            score = msgspec.json.decode(data, type=ScoreAnswer)
        except msgspec.MsgspecError as error:
            raise make_malformed_error(address, error) from error
        if score.sample_id != sample_id:
            raise UpstreamError(
                f'{address} scored {score.sample_id} instead of {sample_id}',
                'ask again; check what lies between here and the service',
            )
        return score.score

    def close(self) -> None:
        """Close the idle connections."""
        self._connections.close()
