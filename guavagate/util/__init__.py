"""Helpers that depend on no other part of the service."""
