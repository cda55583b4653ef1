"""Adapters to the systems outside, one folder each."""
