"""Duties that one instance does for all."""
