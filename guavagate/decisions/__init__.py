"""Decisions under load: pure modules without network or clock."""
