"""Lists of the store whose pages lead nowhere."""

import pytest

from guavagate.exceptions import StoreUnavailableError
from tests.platform.test_wire import _OBJECT, _make_store


@pytest.mark.parametrize(
    'items', [_OBJECT, b'{"spec":1},[]'], ids=['the same page', 'no names']
)
def test_a_page_that_leads_to_no_other_is_no_list(items: bytes) -> None:
    """What the other pages have would seem to be gone, or the page repeat."""
    page = b'{"items":[%s],"has-more":true,"store-revision":9}' % items
    store, client = _make_store(*[(200, page)] * 3)
    with pytest.raises(StoreUnavailableError):
        store.list_under('k')
    assert len(client.calls) <= 2
