"""Training runs: steps, their samples and the delivery to trainers."""

from guavagate.runs._client import RunAddress, RunsClient, partition_key
from guavagate.runs._commands import (
    Batch,
    ConfirmOrder,
    FinishedSample,
    FinishSample,
    GroupSpec,
    KeepCursor,
    PublishVersion,
    PullBatch,
    RunCommand,
    RunOutcome,
    SubmitStep,
    Verdict,
)
from guavagate.runs._driver import HostedStates, RunDriver, find_deployment
from guavagate.runs._run import Run
from guavagate.runs._state import RUN_COMMANDS, RunsState
from guavagate.runs._step import PendingSample
from guavagate.runs._worker import SampleWorker

__all__ = (
    'RUN_COMMANDS',
    'Batch',
    'ConfirmOrder',
    'FinishSample',
    'FinishedSample',
    'GroupSpec',
    'HostedStates',
    'KeepCursor',
    'PendingSample',
    'PublishVersion',
    'PullBatch',
    'Run',
    'RunAddress',
    'RunCommand',
    'RunDriver',
    'RunOutcome',
    'RunsClient',
    'RunsState',
    'SampleWorker',
    'SubmitStep',
    'Verdict',
    'find_deployment',
    'partition_key',
)
