"""Settings: the daemon's own file and the teams' subtrees."""

from guavagate.settings._schema import (
    CallerSettings,
    DeploymentSettings,
    DeploymentWeights,
    InstanceSettings,
    PeerSettings,
    PlatformSettings,
    SamplerSettings,
    ServiceSettings,
    TeamSettings,
    UpstreamSettings,
)

__all__ = (
    'CallerSettings',
    'DeploymentSettings',
    'DeploymentWeights',
    'InstanceSettings',
    'PeerSettings',
    'PlatformSettings',
    'SamplerSettings',
    'ServiceSettings',
    'TeamSettings',
    'UpstreamSettings',
)
