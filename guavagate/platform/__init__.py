"""Adapter to the users' platform, the only package that knows its protocol.

It decodes each message once, encodes answers, and makes no decisions.
"""
