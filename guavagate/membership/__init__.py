"""Failure detection between instances, seeded by the platform's list."""

from guavagate.membership._members import Membership
from guavagate.membership._packet import MemberState
from guavagate.membership._static import StaticMembers, make_peer_settings

__all__ = ('MemberState', 'Membership', 'StaticMembers', 'make_peer_settings')
