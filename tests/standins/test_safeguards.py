"""The table of safeguards: no row is out of date, and removing one is seen."""

import pytest

from standins.safeguards import SAFEGUARDS, find_stale, is_caught


@pytest.mark.parametrize('safeguard', SAFEGUARDS, ids=lambda each: each.name)
def test_a_row_names_what_is_there(safeguard: object) -> None:
    """An edit that finds nothing to remove would prove nothing."""
    assert not find_stale(safeguard)  # type: ignore[arg-type]


def test_a_removed_safeguard_is_noticed() -> None:
    """One row runs with the tests; ``script/safeguards`` runs them all."""
    assert is_caught(SAFEGUARDS[0])
