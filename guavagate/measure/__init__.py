"""Measurements: patterns, models and checkers behind script/measure."""
