"""Planned stops of real processes."""
