"""What an instance sees of the zones: evacuations, warm-ups, work there."""

from guavagate.zone_view._gauges import watch_zones
from guavagate.zone_view._view import ColdUpstream, ZoneState, ZoneView

__all__ = ('ColdUpstream', 'ZoneState', 'ZoneView', 'watch_zones')
