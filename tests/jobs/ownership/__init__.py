"""Tests of `guavagate.jobs.ownership`."""
