"""Counts what a socket sends and receives."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Traffic:
    """Messages and their bytes, without the headers of IP, TCP and UDP."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0

    def note_sent(self, size: int) -> None:
        """Count one message sent."""
        self.sent += 1
        self.sent_bytes += size

    def note_received(self, size: int) -> None:
        """Count one message received."""
        self.received += 1
        self.received_bytes += size
