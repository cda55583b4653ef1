"""Interface to scoring services."""

from typing import Protocol

from guavagate.models import SampleId


class ScoringService(Protocol):
    """Scores finished samples; scoring may be repeated."""

    def score(
        self,
        address: str,
        sample_id: SampleId,
        prompt: str,
        text: str,
        timeout: float,
    ) -> float:
        """Return the score of a sample.

        Raises
        ------
        UpstreamNotStartedError
            The service has not started.
        UpstreamError
            The service failed, was late, or answered for another sample.
        """
