"""Tests of `guavagate.jobs.texts`."""
