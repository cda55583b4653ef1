"""Tests of guavagate.helpers."""
