"""Tests of permits."""
