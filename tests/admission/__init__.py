"""Tests of admission control at entries."""
