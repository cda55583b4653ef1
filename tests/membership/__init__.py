"""Tests of the membership."""
