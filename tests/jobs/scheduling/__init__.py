"""Tests of `guavagate.jobs.scheduling`."""
