"""Names of the platform's protocol occur only in `guavagate/platform`."""

import pathlib
import re

_ROOT = pathlib.Path(__file__).parents[2]
_ADAPTER = _ROOT / 'guavagate' / 'platform'
_MAX_LINES = 1_700
_PROTOCOL_NAMES = re.compile(
    r'(?<!x-)guavagate-(request-id|server-seal|target-instance|not-executed'
    '|deadline-ms|weight-versions|server-load|wait-ms|length-hint|token-count|prompt-prefix)'
    '|kv-capacity|target-groups|store-revision|path-prefix|route-type'
    '|cold-remaining|cold-per-s|cold-start-s|guavagate-cold|cold-excess|cold-slack'
    '|deletion-pending|heartbeat-ms|min-version',
    re.IGNORECASE,
)


def test_protocol_names_occur_only_in_the_adapter() -> None:
    """A protocol name elsewhere would tie the product to one platform.

    The product's own headers start with `X-`, so they do not match.
    """
    found = [
        str(path.relative_to(_ROOT))
        for path in (_ROOT / 'guavagate').rglob('*.py')
        if _ADAPTER not in path.parents
        and _PROTOCOL_NAMES.search(path.read_text())
    ]
    assert not found


def test_the_adapter_stays_small() -> None:
    """The adapter only translates; decisions belong to other packages."""
    lines = sum(
        len(path.read_text().splitlines()) for path in _ADAPTER.glob('*.py')
    )
    assert lines <= _MAX_LINES
