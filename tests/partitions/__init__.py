"""Tests of partitions in the store."""
