"""Adapters to external systems, one package for each."""
