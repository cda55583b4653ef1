"""Ids and states that every part of guavagate shares."""

import enum
from typing import NewType

InstanceId = NewType('InstanceId', str)
ZoneId = NewType('ZoneId', str)
RegionId = NewType('RegionId', str)
TeamId = NewType('TeamId', str)
CallerId = NewType('CallerId', str)
DeploymentId = NewType('DeploymentId', str)
ServiceId = NewType('ServiceId', str)
SamplerId = NewType('SamplerId', str)
UpstreamId = NewType('UpstreamId', str)
RequestId = NewType('RequestId', str)
SampleId = NewType('SampleId', str)
RunId = NewType('RunId', str)
PartitionId = NewType('PartitionId', int)
Epoch = NewType('Epoch', int)
Revision = NewType('Revision', int)
WeightVersion = NewType('WeightVersion', int)


class NotRun(enum.Enum):
    """What a refusal says about whether its request ran."""

    TRUE = 'true'
    FALSE = 'false'
    UNKNOWN = 'unknown'


class UpstreamState(enum.Enum):
    """Whether an upstream may be given work."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    GONE = 'gone'
