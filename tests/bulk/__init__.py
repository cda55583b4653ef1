"""Tests of the data folder."""
