"""Speak the users' line protocol as their callers do."""

from __future__ import annotations

from typing import Any, NamedTuple

from gevent import socket

# Answers with these codes promise that nothing is kept.
PROMISES = ("BUSY", "ABORTED", "LAGGING", "READONLY", "WRONGNODE", "CONNLIMIT")
# Longer than the routes' timeout, so that an answer is seen if one comes.
ANSWER_SECONDS = 4.0
LINE_END = b"\r\n"


class Lost(Exception):
    """Report that a connection ended without an answer."""


class LineAnswer(NamedTuple):
    """Hold what a statement was answered with; ``code`` is empty for success."""

    rows: tuple[str, ...]
    code: str

    @property
    def done(self) -> bool:
        """Tell whether the statement succeeded."""
        return not self.code

    @property
    def promises_nothing_kept(self) -> bool:
        """Tell whether the answer promises that nothing of the attempt is kept."""
        return self.code in PROMISES


def read_line(file: Any) -> bytes:
    """Return the bytes up to a carriage return and line feed, or to the stream's end."""
    line: bytes = file.readline()
    while line.endswith(b"\n") and not line.endswith(LINE_END):
        line += (rest := file.readline())
        if not rest:
            break
    return line


class LineSession:
    """Hold one session; ``state`` is the last one told, empty after a loss."""

    def __init__(self, address: tuple[str, int], route: str, key: str) -> None:
        """Open a session; raise OSError or Lost when it is refused."""
        self.sock = socket.create_connection(address, timeout=ANSWER_SECONDS)
        self.file = self.sock.makefile("rb")
        self.state = ""
        self.sock.sendall(f"START {route} {key}\r\n".encode())
        if not self.line().startswith("READY"):
            raise Lost

    def line(self) -> str:
        """Return the next line; raise Lost at the end."""
        try:
            found = read_line(self.file)
        except OSError as error:
            raise Lost from error
        if not found.endswith(LINE_END):
            raise Lost
        return str(found.decode().removesuffix("\r\n"))

    def ask(self, request: str, text: str) -> LineAnswer | None:
        """Run one statement; return None when no whole answer comes."""
        rows = []
        try:
            self.sock.sendall(f"QUERY {request} {text}\r\n".encode())
            while not (line := self.line()).startswith(("COMPLETE", "ERROR")):
                rows.append(line.partition(" ")[2])
            self.state = self.line().split(" ")[1]
        except (Lost, OSError):
            self.state = ""
            return None
        code = line.split(" ")[1] if line.startswith("ERROR") else ""
        return LineAnswer(tuple(rows), code)

    def close(self) -> None:
        """Close without ending what is open."""
        self.file.close()
        self.sock.close()
