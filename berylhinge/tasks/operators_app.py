"""Serve health, metrics and status to operators."""

from __future__ import annotations

from typing import Any, TYPE_CHECKING

import msgspec

from .http_server import respond, respond_json

if TYPE_CHECKING:
    from collections.abc import Callable, Iterable

    from .http_server import Environ, StartResponse
    from .metrics import Metrics


class OperatorsApp:
    """Answer requests at the operators' listener."""

    def __init__(
        self,
        metrics: Metrics,
        *,
        is_ready: Callable[[], bool],
        get_status: Callable[[], dict[str, Any]],
        refresh_metrics: Callable[[], None],
        actions: dict[str, Callable[[Any], Any]],
    ) -> None:
        """Store the callbacks; ``actions`` maps POST paths to functions."""
        self.metrics = metrics
        self.is_ready = is_ready
        self.get_status = get_status
        self.refresh_metrics = refresh_metrics
        self.actions = actions

    def __call__(
        self, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Answer one request."""
        path = environ.get("PATH_INFO", "")
        if environ["REQUEST_METHOD"] == "POST":
            return self.run_action(path, environ, start_response)
        match path:
            case "/healthz":
                return respond_json(start_response, 200, {"healthy": True})
            case "/readyz":
                ready = self.is_ready()
                status = 200 if ready else 503
                return respond_json(start_response, status, {"ready": ready})
            case "/metrics":
                self.refresh_metrics()
                body, kind = self.metrics.render()
                return respond(start_response, 200, body, content_type=kind)
            case "/v1/status":
                return respond_json(start_response, 200, self.get_status())
        return respond_unknown_path(start_response, path)

    def run_action(
        self, path: str, environ: Environ, start_response: StartResponse
    ) -> Iterable[bytes]:
        """Run the action of a path with the request's JSON body."""
        action = self.actions.get(path)
        if action is None:
            return respond_unknown_path(start_response, path)
        body = environ["wsgi.input"].read()
        try:
            value = msgspec.json.decode(body or b"{}")
            answer = action(value)
        except (msgspec.MsgspecError, ValueError, KeyError, TypeError) as error:
            problem = {"error": str(error), "remedy": "Send the documented body."}
            return respond_json(start_response, 400, problem)
        return respond_json(start_response, 200, answer)


def respond_unknown_path(start_response: StartResponse, path: str) -> Iterable[bytes]:
    """Answer a request for an unknown path."""
    problem = {"error": f"unknown path {path}", "remedy": "Use /v1/status."}
    return respond_json(start_response, 404, problem)
