"""Implements the scoring port over HTTP."""

import msgspec

from guavagate.clock import Clock
from guavagate.exceptions import UpstreamError
from guavagate.helpers.decoding import decode_json
from guavagate.integrations._errors import make_error, make_malformed_error
from guavagate.integrations._http import Connections
from guavagate.integrations.scoring_service import const
from guavagate.integrations.scoring_service.models import (
    ScoreAnswer,
    ScoreRequest,
)
from guavagate.models import SampleId


class HttpScoringService:
    """Client for all scoring services of an instance.

    Parameters
    ----------
    clock
        Limits every wait.
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
            The service has not started the request.
        UpstreamError
            It failed, timed out, or scored another sample.
        """
        request = ScoreRequest(sample_id, prompt, text)
        answer = self._connections.send(
            address,
            'POST',
            const.PATH_SCORE,
            body=msgspec.json.encode(request),
            headers={'Content-Type': 'application/json'},
            timeout=timeout,
        )
        data = self._connections.read(address, answer, timeout)
        if answer.status_code != 200:
            raise make_error(address, answer.status_code, data)
        try:
            score = decode_json(data, ScoreAnswer)
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
