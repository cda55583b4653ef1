"""Helpers that need the runtime."""
