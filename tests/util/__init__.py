"""Tests of the helpers in `guavagate.util`."""
