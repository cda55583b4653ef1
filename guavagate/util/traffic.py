"""Counters of the messages that a socket sends and receives."""

import dataclasses


@dataclasses.dataclass(slots=True)
class Traffic:
    """Counts messages and bytes, without IP, TCP and UDP headers."""

    sent: int = 0
    sent_bytes: int = 0
    received: int = 0
    received_bytes: int = 0

    def record_sent(self, size: int) -> None:
        """Count one message sent."""
        self.sent += 1
        self.sent_bytes += size

    def record_received(self, size: int) -> None:
        """Count one message received."""
        self.received += 1
        self.received_bytes += size
