"""Tests of `guavagate.jobs.records`."""
