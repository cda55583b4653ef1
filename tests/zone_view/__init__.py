"""Tests of `guavagate.zone_view`."""
