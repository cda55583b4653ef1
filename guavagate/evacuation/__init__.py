"""Evacuation of zones: their upstreams get nothing new until they return."""

from guavagate.evacuation._evacuations import Evacuations, make_evacuations
from guavagate.evacuation._zones import EvacuatedZone, EvacuatedZones

__all__ = ('EvacuatedZone', 'EvacuatedZones', 'Evacuations', 'make_evacuations')
