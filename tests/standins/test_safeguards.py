"""Tests that the safeguard rows match the code and that one is caught."""

import pytest

from standins.safeguards import SAFEGUARDS, find_stale, is_caught


@pytest.mark.parametrize('safeguard', SAFEGUARDS, ids=lambda each: each.name)
def test_each_row_matches_the_code(safeguard: object) -> None:
    """A row whose text is not in its file would remove nothing."""
    assert not find_stale(safeguard)  # type: ignore[arg-type]


def test_a_removed_safeguard_is_caught() -> None:
    """Runs one row; ``script/safeguards`` runs all of them."""
    assert is_caught(SAFEGUARDS[0])
