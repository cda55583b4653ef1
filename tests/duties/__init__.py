"""Tests of the duties that one instance performs for all."""
