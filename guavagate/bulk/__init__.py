"""Bulk data on an instance's small disk; all of it may be lost at any time."""

from guavagate.bulk._folder import BulkFolder
from guavagate.bulk._records import decode_record, encode_record

__all__ = ('BulkFolder', 'decode_record', 'encode_record')
