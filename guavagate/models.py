"""Ids and states shared by all packages."""

import enum
from typing import Final, NewType, TypeAlias

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

# The regions that a request is bound to; `None` if it may use any.
Regions: TypeAlias = frozenset[RegionId] | None
ANYWHERE: Final[Regions] = None


class NotRun(enum.Enum):
    """Whether a refused request is known not to have run."""

    TRUE = 'true'
    FALSE = 'false'
    UNKNOWN = 'unknown'


class UpstreamState(enum.Enum):
    """Whether an upstream accepts work."""

    SERVING = 'serving'
    LEAVING = 'leaving'
    GONE = 'gone'
