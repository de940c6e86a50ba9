from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from click.testing import CliRunner, Result

from ... import __version__
from ...core.tests.sample_declarations import (
    organisation_record,
    sample_document,
    upstream_record,
)
from ...standins.platform import Platform, start_platform
from ...tasks.http_server import Address, server_address, start_server
from ...tasks.metrics import Metrics
from ...tasks.operators_app import OperatorsApp
from ...tasks.platform_client import PlatformClient
from ..ctl import main

EXAMPLES = Path(__file__).resolve().parents[3] / "examples"
CLOSED = "127.0.0.1:9"


class FakeInstance:
    """Answer the operators' listener as an instance does."""

    def __init__(self, name: str, platform: Platform) -> None:
        self.name = name
        self.platform = platform
        self.version: int | None = 1
        self.withdrawn: list[str] = []
        self.drained = False
        self.server = start_server(Address("127.0.0.1", 0), self.app())
        self.address = str(server_address(self.server))
        client = PlatformClient([platform.address])
        client.announce_instance(
            {
                "instance": name,
                "incarnation": 1,
                "place": "oslo-a",
                "state": "live",
                "peer": "127.0.0.1:1",
                "callers": "127.0.0.1:2",
                "operators": self.address,
            }
        ).unwrap()
        client.close()

    def app(self) -> OperatorsApp:
        return OperatorsApp(
            Metrics(),
            is_ready=lambda: True,
            get_status=self.status,
            refresh_metrics=lambda: None,
            actions={"/v1/withdrawals": self.withdraw, "/v1/drain": self.drain},
        )

    def withdraw(self, body: Any) -> Any:
        self.withdrawn += body["keys"]
        return {}

    def drain(self, body: Any) -> Any:
        self.drained = True
        return {}

    def held_version(self) -> int:
        if self.version is not None:
            return self.version
        stored = self.platform.store.get("configuration")["value"]
        return json.loads(stored)["version"] if stored else 0

    def status(self) -> dict[str, Any]:
        member = {"role": "primary", "term": 3, "last": [3, 9], "reachable": True}
        group = {"term": 3, "primary": "db-0", "confirmed": [3, 9]}
        return {
            "instance": self.name,
            "place": "oslo-a",
            "state": "live",
            "ready": True,
            "config_version": self.held_version(),
            "incarnation": 1,
            "groups": {"g1": {**group, "members": {"db-0": member}}},
            "shares": {"ark": {"units": 20.0, "tokens": 3.5}},
        }


@pytest.fixture
def platform() -> Iterator[Platform]:
    found = start_platform(list_lag_seconds=0.0, announcement_seconds=600.0)
    yield found
    found.stop()


@pytest.fixture
def instance(platform: Platform) -> Iterator[FakeInstance]:
    found = FakeInstance("i-1", platform)
    yield found
    found.server.stop()


def ctl(platform: Platform | None, *arguments: str) -> Result:
    options = ["--platform", str(platform.address)] if platform else []
    return CliRunner().invoke(main, [*options, "--output", "json", *arguments])


def said(result: Result, code: int = 0) -> Any:
    assert result.exit_code == code, result.output
    return json.loads(result.output)


@pytest.fixture
def file(tmp_path: Path) -> Path:
    document = sample_document()
    del document["keys"]
    return written(tmp_path / "fleet.json", document)


def written(path: Path, document: Any) -> Path:
    path.write_text(json.dumps(document))
    return path


@pytest.mark.parametrize(
    ("arguments", "code", "text"),
    [
        (["--help"], 0, "Exit codes"),
        (["--version"], 0, __version__),
        ([], 2, "Usage"),
        (["nothing"], 2, "No such command"),
        (["check", "no-such-file"], 2, "does not exist"),
        (["show"], 2, "--platform IP:PORT"),
        (["--platform", "here", "show"], 2, "expected IP:PORT"),
        (["--platform", CLOSED, "show"], 1, "not reached"),
        (["--platform", CLOSED, "status"], 1, "not reached"),
        (["--platform", CLOSED, "drain", "i-1"], 1, "not reached"),
        (["--output", "xml", "show"], 2, "--output"),
    ],
)
def test_exit_codes_and_messages(arguments: list[str], code: int, text: str) -> None:
    result = CliRunner().invoke(main, arguments)
    assert result.exit_code == code
    assert text in result.output


@pytest.mark.parametrize("name", ["kattevakt", "agenzia"])
def test_the_examples_are_valid(name: str) -> None:
    said(ctl(None, "check", str(EXAMPLES / f"{name}.json")))


@pytest.mark.parametrize(
    ("changes", "path"),
    [
        ({"routes": [{"id": "r", "groups": {}, "open": "yes"}]}, "$.routes[0].open"),
        ({"upstreams": [upstream_record(0)]}, "$.groups[1]"),
        (
            {
                "routes": [
                    {
                        "id": "r",
                        "groups": {"match_labels": {"home": "no"}},
                        "open": True,
                    }
                ]
            },
            "$.routes[0].groups",
        ),
    ],
)
def test_check_names_every_fault(tmp_path: Path, changes: Any, path: str) -> None:
    file = written(tmp_path / "bad.json", sample_document(**changes))
    errors = said(ctl(None, "check", str(file)), code=1)["errors"]
    assert [error["path"] for error in errors] == [path]


def test_apply_show_diff_and_again(platform: Platform, file: Path) -> None:
    first = said(ctl(platform, "apply", str(file)))
    assert (first["result"], first["version"]) == ("applied", 1)
    shown = said(ctl(platform, "show"))
    assert shown["version"] == 1
    assert {one["id"] for one in shown["upstreams"]} == {f"db-{n}" for n in range(6)}
    assert said(ctl(platform, "diff", str(file)))["differences"] == []
    assert said(ctl(platform, "apply", str(file)))["result"] == "unchanged"


def test_diff_shows_what_apply_would_change(
    platform: Platform, file: Path, tmp_path: Path
) -> None:
    said(ctl(platform, "apply", str(file)))
    slower = organisation_record("ark", home="north") | {"rate_per_second": 1}
    changed = sample_document(
        organisations=[slower, organisation_record("bod", home="south")]
    )
    other = written(tmp_path / "other.json", changed)
    (difference,) = said(ctl(platform, "diff", str(other)))["differences"]
    assert difference == {
        "path": "organisations.ark.rate_per_second",
        "before": "100.0",
        "after": "1.0",
    }


def test_a_conflict_shows_what_differs(platform: Platform, file: Path) -> None:
    said(ctl(platform, "apply", str(file)))
    said(ctl(platform, "drain", "db-1"))
    answer = said(ctl(platform, "apply", str(file), "--expect-version", "1"), code=1)
    assert answer["result"] == "conflict"
    assert [one["path"] for one in answer["differences"]] == ["upstreams.db-1.state"]


def test_two_members_at_once_are_refused(
    platform: Platform, file: Path, tmp_path: Path
) -> None:
    said(ctl(platform, "apply", str(file)))
    fewer = sample_document(
        upstreams=[upstream_record(number) for number in range(2, 6)]
    )
    answer = said(
        ctl(platform, "apply", str(written(tmp_path / "f.json", fewer))), code=1
    )
    assert answer["result"] == "refused"
    assert said(ctl(platform, "show"))["version"] == 1


def test_members_change_only_once_the_last_change_is_in_force(
    platform: Platform, instance: FakeInstance, file: Path, tmp_path: Path
) -> None:
    instance.version = 0
    said(ctl(platform, "apply", str(file)))
    fewer = sample_document(
        upstreams=[upstream_record(number) for number in range(1, 6)]
    )
    other = str(written(tmp_path / "f.json", fewer))
    answer = said(ctl(platform, "apply", other), code=1)
    assert [one["instance"] for one in answer["behind"]] == ["i-1"]
    instance.version = 1
    assert said(ctl(platform, "apply", other))["version"] == 2


@pytest.mark.parametrize(("held", "code"), [(None, 0), (0, 1)])
def test_wait_tells_who_is_behind(
    platform: Platform, instance: FakeInstance, file: Path, held: int | None, code: int
) -> None:
    instance.version = held
    result = ctl(platform, "apply", str(file), "--wait", "--timeout", "0.1")
    answer = said(result, code=code)
    assert answer["in_force"] is (code == 0)
    behind = [one["instance"] for one in answer.get("behind", [])]
    assert behind == ([] if code == 0 else ["i-1"])


def test_the_version_exceeds_those_in_force(
    platform: Platform, instance: FakeInstance, file: Path
) -> None:
    instance.version = 41
    assert said(ctl(platform, "apply", str(file)))["version"] == 42


def test_a_key_is_shown_once_and_withdrawn_everywhere(
    platform: Platform, instance: FakeInstance, file: Path
) -> None:
    said(ctl(platform, "apply", str(file)))
    granted = said(ctl(platform, "key", "grant", "ark"))
    _, key_id, secret = granted["key"].split("_", 2)
    assert key_id == granted["key_id"]
    assert secret not in ctl(platform, "show").output
    assert secret not in str(platform.store.get("configuration")["value"])
    answer = said(ctl(platform, "key", "withdraw", key_id))
    assert answer["told"] == [{"instance": "i-1", "in_force": True, "error": None}]
    assert instance.withdrawn == [key_id]
    (key,) = said(ctl(platform, "show"))["keys"]
    assert key == {"id": key_id, "organisation": "ark", "state": "withdrawn"}
    assert said(ctl(platform, "apply", str(file)))["result"] == "unchanged"


@pytest.mark.parametrize(
    ("arguments", "result"),
    [
        (["key", "grant", "nobody"], "refused"),
        (["key", "withdraw", "nothing"], None),
        (["drain", "nothing"], None),
    ],
)
def test_unknown_names_are_refused(
    platform: Platform, file: Path, arguments: list[str], result: str | None
) -> None:
    said(ctl(platform, "apply", str(file)))
    answer = said(ctl(platform, *arguments), code=1)
    assert answer.get("result") == result
    assert "key" not in answer


def test_a_withdrawal_reaches_instances_while_the_store_is_down(
    platform: Platform, instance: FakeInstance, monkeypatch: pytest.MonkeyPatch
) -> None:
    monkeypatch.setattr("berylhinge.core.configuration_update.READ_RETRIES_LIMIT", 1)
    platform.stop()
    arguments = ["key", "withdraw", "k", "--operators", instance.address]
    answer = said(ctl(platform, *arguments, "--operators", CLOSED), code=1)
    assert answer["result"] == "not-applied"
    assert [one["in_force"] for one in answer["told"]] == [True, False]
    assert instance.withdrawn == ["k"]


def test_drain_an_instance(
    platform: Platform, instance: FakeInstance, file: Path
) -> None:
    said(ctl(platform, "drain", "i-1"))
    assert instance.drained


def test_status(platform: Platform, instance: FakeInstance) -> None:
    answer = said(ctl(platform, "status"))
    assert answer["instances"][0]["config_version"] == 1
    assert answer["groups"][0]["primary"] == "db-0"
    assert answer["upstreams"][0]["last"] == "3/9"
    assert answer["shares"][0] == {
        "organisation": "ark",
        "units": 20.0,
        "by_instance": "i-1=20",
    }
    instance.server.stop()
    answer = said(ctl(platform, "status"))
    assert answer["instances"][0]["error"]


def test_tables_are_aligned(platform: Platform, instance: FakeInstance) -> None:
    result = CliRunner().invoke(main, ["--platform", str(platform.address), "status"])
    assert result.exit_code == 0
    lines = result.output.splitlines()
    assert lines[0] == "1 instances listed, 0 don't answer"
    assert "instance  place   state  ready  config_version  error" in lines
