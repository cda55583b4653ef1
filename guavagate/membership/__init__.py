"""Who is alive: probes between instances, seeded by the platform's list."""

from guavagate.membership._static import StaticMembers, describe

__all__ = ('StaticMembers', 'describe')
