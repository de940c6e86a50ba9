"""Carry bytes over loopback, delayed, reset, silenced or cut one way."""

from __future__ import annotations

from contextlib import suppress
from typing import Any

import gevent
from gevent import socket
from gevent.server import StreamServer

READ_BYTES = 65_536
HOLD_SECONDS = 0.02


class LoopbackProxy:
    """Stand before one address; the faults may change at any time.

    ``silent`` holds back both directions, ``cut`` only what the target answers.
    """

    def __init__(self, host: str, port: int) -> None:
        """Listen on a free port."""
        self.target = (host, port)
        self.delay_seconds = 0.0
        self.silent = False
        self.cut = False
        self.refusing = False
        self.sockets: set[Any] = set()
        self.server = StreamServer(("127.0.0.1", 0), self.serve)
        self.server.start()

    @property
    def address(self) -> str:
        """Return host:port."""
        return f"127.0.0.1:{self.server.server_port}"

    def heal(self) -> None:
        """Carry everything again; what was held back flows."""
        self.delay_seconds = 0.0
        self.silent = self.cut = self.refusing = False

    def reset(self) -> None:
        """Break every connection."""
        for sock in list(self.sockets):
            with suppress(OSError):
                sock.shutdown(socket.SHUT_RDWR)

    def close(self) -> None:
        """Stop listening and break every connection."""
        self.server.stop()
        self.reset()

    def serve(self, near: Any, _address: object) -> None:
        """Carry one connection."""
        if self.refusing:
            near.close()
            return
        far = socket.socket()
        pair = (near, far)
        try:
            far.connect(self.target)
            self.sockets.update(pair)
            back = gevent.spawn(self.carry, far, near, answers=True)
            self.carry(near, far, answers=False)
            back.join()
        except OSError:
            # The target is down: its caller sees the connection close.
            return
        finally:
            for sock in pair:
                self.sockets.discard(sock)
                sock.close()

    def carry(self, source: Any, sink: Any, *, answers: bool) -> None:
        """Carry one direction until either side closes."""
        with suppress(OSError):
            while data := source.recv(READ_BYTES):
                if self.delay_seconds:
                    gevent.sleep(self.delay_seconds)
                while self.silent or (self.cut and answers):
                    gevent.sleep(HOLD_SECONDS)
                sink.sendall(data)
        with suppress(OSError):
            sink.shutdown(socket.SHUT_WR)
