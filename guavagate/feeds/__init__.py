"""Distributes objects of the store to every instance through one relay.

A pending watch counts as a call and ends with each change, and the store's
rate limits grow more slowly than the number of instances. Therefore one
instance, the relay, watches the store and sends what it reads to all others.
Some standbys take over when its data is stale, and an instance that receives
nothing from any relay reads the store itself.
"""

from guavagate.feeds._feed import Feed
from guavagate.feeds._proof import Proof
from guavagate.feeds._relays import rank_relays
from guavagate.feeds._table import FeedTable

__all__ = ('Feed', 'FeedTable', 'Proof', 'rank_relays')
