"""Tests of forwarding to upstreams."""
