"""Tests of runs."""
