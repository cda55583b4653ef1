"""Polls the platform's list of instances, which lags behind."""

from guavagate.integrations.instance_list._poller import InstanceListPoller
from guavagate.integrations.instance_list.models import ListedInstance

__all__ = ('InstanceListPoller', 'ListedInstance')
