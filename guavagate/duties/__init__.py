"""Calls to the platform that one instance makes for all of them."""

from guavagate.duties._book import UsageBook
from guavagate.duties._reporter import UsageReporter
from guavagate.duties._scaler import Scaler
from guavagate.duties._tally import UsageTally
from guavagate.duties._targets import Fleet, Kind, choose_targets
from guavagate.duties._teller import UsageTeller
from guavagate.duties._true_time import TrueTime
from guavagate.duties._usage import Usage

__all__ = (
    'Fleet',
    'Kind',
    'Scaler',
    'TrueTime',
    'Usage',
    'UsageBook',
    'UsageReporter',
    'UsageTally',
    'UsageTeller',
    'choose_targets',
)
