"""Messages of the scoring service protocol."""

import msgspec

from guavagate.models import SampleId


class ScoreRequest(msgspec.Struct):
    """A sample to score."""

    sample_id: SampleId
    prompt: str
    text: str


class ScoreAnswer(msgspec.Struct):
    """The score of a sample."""

    sample_id: SampleId
    score: float
