"""Pure helpers."""
