"""Wake every greenlet that waits for a change."""

from __future__ import annotations

from gevent.event import Event


class Broadcast:
    """Let any number of greenlets wait for the next notification."""

    def __init__(self) -> None:
        """Start without waiters."""
        self.event = Event()
        self.waiters = 0

    def wait(self, timeout_seconds: float) -> bool:
        """Wait for the next notification; return false on timeout."""
        event = self.event
        self.waiters += 1
        try:
            return event.wait(max(0.0, timeout_seconds))
        finally:
            self.waiters -= 1

    def notify(self) -> None:
        """Wake all current waiters."""
        event, self.event = self.event, Event()
        event.set()
