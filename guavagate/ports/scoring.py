"""A scoring service as the rest of guavagate sees it."""

from typing import Protocol

from guavagate.models import SampleId


class ScoringService(Protocol):
    """Gives finished samples their scores; scoring may be repeated."""

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
