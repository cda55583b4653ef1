"""Tests of the partitions that the store keeps."""
