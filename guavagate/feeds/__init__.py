"""Objects of the store that every instance follows, at the cost of one.

A waiting watch counts as a call, each change ends it, and the store's rates
grow more slowly than the fleet. One instance watches and tells all others; some
stand-ins step in when its news is old, and an instance that hears nobody asks
the store itself.
"""

from guavagate.feeds._feed import Feed
from guavagate.feeds._proof import Proof
from guavagate.feeds._relays import rank_relays
from guavagate.feeds._table import FeedTable

__all__ = ('Feed', 'FeedTable', 'Proof', 'rank_relays')
