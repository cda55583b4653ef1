"""The scoring services' protocol, as it is on the wire."""

import msgspec

from guavagate.models import SampleId


class ScoreRequest(msgspec.Struct):
    """What is to be scored."""

    sample_id: SampleId
    prompt: str
    text: str


class ScoreAnswer(msgspec.Struct):
    """A score, with the sample that it is for."""

    sample_id: SampleId
    score: float
