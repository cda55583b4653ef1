"""Tests of the links between instances."""
