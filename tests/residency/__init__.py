"""Tests of requests and bodies that are bound to regions."""
