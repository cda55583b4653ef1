"""Tests of the limits on starts at cold upstreams."""
