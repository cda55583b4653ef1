"""Tests of guavagate."""
