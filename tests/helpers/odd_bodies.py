"""Bodies of other programs for which decoders raise errors of many types."""

import json
from typing import Final

# Beyond the recursion limit of any decoder.
NESTING: Final = 100_000
DEEP_LIST: Final = b'%b%b' % (b'[' * NESTING, b']' * NESTING)
DEEP_OBJECT: Final = b'%b1%b' % (b'{"a":' * NESTING, b'}' * NESTING)
# More digits than Python converts.
LONG_NUMBER: Final = b'9' * 5000
# Half of a surrogate pair, as JSON escapes it.
HALF_CHARACTER: Final = json.dumps(chr(0xD800)).encode()

ODD_JSON: Final = {
    'deep list': DEEP_LIST,
    'deep object': DEEP_OBJECT,
    'deep list without end': b'[' * NESTING,
    'deep unknown field': b'{"later":%b}' % DEEP_LIST,
    'long number': LONG_NUMBER,
    'long number of a field': b'{"version":%b}' % LONG_NUMBER,
    'long fraction': b'{"version":0.%b}' % LONG_NUMBER,
    'large exponent': b'{"version":1e99999}',
    'no text': b'\xff\xfe',
    'cut text': b'{"a":"\xc3',
    'half a character': b'{"a":%b}' % HALF_CHARACTER,
    'NaN': b'NaN',
    'nothing': b'',
}
ODD_MSGPACK: Final = {
    'deep list': b'%b\xc0' % (b'\x91' * NESTING),
    'deep map': b'%b\xc0' % (b'\x81\xa1a' * NESTING),
    'deep unknown field': b'\x81\xa5later%b' % (b'\x91' * NESTING),
    'long list': b'\xdd\xff\xff\xff\xff',
    'long map': b'\xdf\xff\xff\xff\xff',
    'long bytes': b'\xc6\xff\xff\xff\xff',
    'no text': b'\xa1\xff',
    'nothing': b'',
}
