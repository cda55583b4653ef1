"""Tests that the generated pages match the code."""

import pathlib

import pytest

from guavagate.helpers.reference import PAGES

_DOCS = pathlib.Path(__file__).parents[1] / 'docs'


@pytest.mark.parametrize('name', sorted(PAGES))
def test_generated_pages_are_up_to_date(name: str) -> None:
    """Each page equals the generated text."""
    page = (_DOCS / name).read_text('utf-8')
    assert page == PAGES[name](), 'run script/docs and commit the pages'
