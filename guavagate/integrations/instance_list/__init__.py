"""Reads the platform's lagging list of instances."""

from guavagate.integrations.instance_list._poller import InstanceListPoller
from guavagate.integrations.instance_list.models import ListedInstance

__all__ = ('InstanceListPoller', 'ListedInstance')
