"""Helpers that depend on other packages of guavagate."""
