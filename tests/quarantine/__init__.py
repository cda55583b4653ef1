"""Tests of the quarantine of requests that crash upstreams."""
