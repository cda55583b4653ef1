"""Values that the settings file may leave out."""

from pathlib import Path

import pytest

from guavagate.platform._settings import load_settings


@pytest.mark.parametrize(
    ('line', 'follows'), [('', False), ('evacuate-ms = 5000', True)]
)
def test_evacuations_are_followed_where_settings_have_a_bound(
    tmp_path: Path, line: str, follows: bool
) -> None:
    """Elsewhere another prefix would cost calls to the store."""
    path = tmp_path / 'settings.toml'
    path.write_text(
        'node-name = "n"\nip = "10.0.0.1"\nzone = "z"\nregion = "r"\n'
        f'port-range = [1, 9]\n[bounds]\n{line}\n'
        '[platform]\naddress = "10.0.0.2:80"\n'
    )
    options = load_settings(str(path)).to_options()
    assert options.follows_evacuations is follows
