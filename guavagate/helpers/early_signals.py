"""Keeps signals that arrive before a process can handle them."""

import signal


def record_early_signals(number: signal.Signals) -> list[int]:
    """Return a list that grows by each signal until another handler is set."""
    received: list[int] = []

    def record(arrived: int, frame: object) -> None:
        received.append(arrived)

    signal.signal(number, record)
    return received
