"""Typed ports to everything outside; adapters live in integrations."""
