"""Typed interfaces to external systems; `integrations` has adapters."""
