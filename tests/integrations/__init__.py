"""Tests of the adapters to external systems."""
