"""Implements the weight store port over HTTP."""

import msgspec

from guavagate.clock import Clock
from guavagate.helpers.decoding import decode_json
from guavagate.integrations._errors import make_error, make_malformed_error
from guavagate.integrations._http import Connections
from guavagate.integrations.weight_store import const
from guavagate.integrations.weight_store.models import WeightEntry
from guavagate.models import RunId, WeightVersion
from guavagate.ports.weights import WeightObject


class HttpWeightStore:
    """Client for weight stores.

    Parameters
    ----------
    clock
        Limits every wait.
    """

    def __init__(self, clock: Clock) -> None:
        self._connections = Connections(clock)

    def find(
        self,
        address: str,
        run: RunId,
        version: WeightVersion,
        timeout: float,
    ) -> WeightObject | None:
        """Return the entry of a version, or `None` if it does not exist.

        Raises
        ------
        UpstreamError
            The store sent no valid response.
        """
        path = f'{const.PATH_WEIGHTS}/{run}/{version}/entry'
        answer = self._connections.send(address, 'GET', path, timeout=timeout)
        data = self._connections.read(address, answer, timeout)
        if answer.status_code == 404:
            return None
        if answer.status_code != 200:
            raise make_error(address, answer.status_code, data)
        try:
            entry = decode_json(data, WeightEntry)
        except msgspec.MsgspecError as error:
            raise make_malformed_error(address, error) from error
        return WeightObject(
            run=run,
            version=version,
            size=entry.size,
            fetches_per_second=entry.fetches_per_second,
        )

    def close(self) -> None:
        """Close the idle connections."""
        self._connections.close()
