"""Tests of guavagate.decisions."""
