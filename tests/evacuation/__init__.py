"""Tests of the evacuation of zones."""
