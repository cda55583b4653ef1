"""Blocks of bytes that are no event of a stream."""

from typing import Final

# What a faulty upstream may send between two events.
FOREIGN_BLOCKS: Final = {
    'no field': b'\x07k2;p#9=',
    'no UTF-8': b'\xff\xfe\x80 \xed\xa0\x80',
    'data alone': b'data: other',
    'number alone': b'id: 4',
    'version alone': b'weight-versions: 9',
    'version without data': b'weight-versions: 9\nid: 4',
    'other line before the number': b'k2\nid: 4\ndata: other',
    'data before and after the number': b'data: k\nid: 4\ndata: other',
    'two numbers': b'id: 4\nid: 4\ndata: other',
    'superscript number': 'id: \u00b2\ndata: other'.encode(),
    'other digits': 'id: \u0664\ndata: other'.encode(),
    'endless number': b'id: %b\ndata: other' % (b'4' * 5_000),
    'negative number': b'id: -4\ndata: other',
    'bad version': b'weight-versions: x\nid: 4\ndata: other',
    'end of a line within': b'id: 4\r\ndata: other\r',
}
