"""Decoding of samplers' registrations."""

import pytest

from guavagate.platform._servers import decode_server


@pytest.mark.parametrize(
    ('fields', 'left'),
    [
        (b'"state":"draining","spot":true,"leaves_ms":2500', 2.5),
        (b'"state":"draining","leaves_ms":0', 0),
        (b'"state":"draining","spot":true', None),
        (b'"state":"ready","spot":true', None),
    ],
)
def test_a_leaving_sampler_names_its_time_left(
    fields: bytes, left: float | None
) -> None:
    """Texts that can't end in that time move off; without one, none do."""
    upstream = decode_server(
        'i-1',
        b'{"service":"s","address":"10.0.0.1:80","zone":"z","slots":12,%s}'
        % fields,
    )
    assert upstream.leaves_in == left
    assert upstream.leaving == (b'draining' in fields)


@pytest.mark.parametrize(
    ('fields', 'seconds'),
    [
        (b'"cold-remaining-ms":2900', 2.9),
        (b'"cold-remaining-ms":0', 0),
        (b'"cold-remaining-ms":-5', 0),
        (b'"spot":true', None),
    ],
)
def test_a_registration_tells_how_long_a_sampler_is_cold(
    fields: bytes, seconds: float | None
) -> None:
    """One that does not say so counts as cold for the whole time."""
    upstream = decode_server(
        'i-1',
        b'{"service":"s","address":"10.0.0.1:80","zone":"z","slots":12,'
        b'"state":"ready",%s}' % fields,
    )
    assert upstream.cold_for == seconds


def test_a_registration_of_an_unknown_state_is_refused() -> None:
    """No work is sent to a sampler whose state is not understood."""
    with pytest.raises(ValueError, match='asleep'):
        decode_server(
            'i-1',
            b'{"service":"s","address":"10.0.0.1:80","zone":"z","slots":12,'
            b'"state":"asleep"}',
        )
