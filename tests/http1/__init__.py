"""Tests of HTTP/1.1 server and client."""
