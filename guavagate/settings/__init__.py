"""Settings: the instance's own file and the teams' settings."""

from guavagate.settings._check import Problem, SettingsProblemsError
from guavagate.settings._documents import (
    load_instance_settings,
    parse_instance_settings,
    parse_settings,
    parse_team_settings,
    render_settings,
)
from guavagate.settings._errors import (
    SettingsConflictError,
    SettingsUnsureError,
)
from guavagate.settings._manager import TeamSettingsManager
from guavagate.settings._paths import (
    find_value,
    parse_value,
    replace_value,
    split_path,
)
from guavagate.settings._record import (
    Change,
    SettingsRecord,
    decode_record,
    encode_record,
    history_path,
    settings_path,
)
from guavagate.settings._schema import (
    CallerSettings,
    DeploymentSettings,
    DeploymentWeights,
    InstanceSettings,
    OperatorSettings,
    PeerSettings,
    PlatformSettings,
    Role,
    RunSettings,
    SamplerSettings,
    ServiceSettings,
    TeamSettings,
    UpstreamSettings,
)
from guavagate.settings._status import InstanceStatus
from guavagate.settings._value_kinds import ValueKind, describe
from guavagate.settings._writer import ChangeRequest, SettingsWriter

__all__ = (
    'CallerSettings',
    'Change',
    'ChangeRequest',
    'DeploymentSettings',
    'DeploymentWeights',
    'InstanceSettings',
    'InstanceStatus',
    'OperatorSettings',
    'PeerSettings',
    'PlatformSettings',
    'Problem',
    'Role',
    'RunSettings',
    'SamplerSettings',
    'ServiceSettings',
    'SettingsConflictError',
    'SettingsProblemsError',
    'SettingsRecord',
    'SettingsUnsureError',
    'SettingsWriter',
    'TeamSettings',
    'TeamSettingsManager',
    'UpstreamSettings',
    'ValueKind',
    'decode_record',
    'describe',
    'encode_record',
    'find_value',
    'history_path',
    'load_instance_settings',
    'parse_instance_settings',
    'parse_settings',
    'parse_team_settings',
    'parse_value',
    'render_settings',
    'replace_value',
    'settings_path',
    'split_path',
)
