from __future__ import annotations

from pathlib import Path

import msgspec
import pytest
from click.testing import CliRunner

from ...cli.load import main
from ..experiment import Hooks, MissingKeyError, run_experiment
from ..fleet import FleetFile
from ..scenario import decode_scenario, Scenario, with_seconds
from .fakes import FakeInstance

SCENARIOS = Path(__file__).parents[1] / "scenarios"
HOOKS = Hooks(
    act=lambda fault: "",
    heal=lambda: None,
    count_entries=lambda route: None,
    progress=lambda count: None,
    settle_seconds=0.0,
)


def small_scenario() -> Scenario:
    path = SCENARIOS / "kattevakt-calm.json"
    scenario = with_seconds(decode_scenario(path.read_bytes()), 1.0)
    scenario["warmup_seconds"] = 0.1
    scenario["mix"] = scenario["mix"] | {"write": 0.3, "insert": 0.2}
    scenario["fleet"] = scenario["fleet"] | {"databases": ["rota-east"]}
    return scenario


def fleet_of(instance: FakeInstance) -> FleetFile:
    names = [entry["organisation"] for entry in small_scenario()["organisations"]]
    return FleetFile(
        callers=[instance.base],
        operators=[],
        keys=dict.fromkeys(names, "good"),
        routes={"rota-east": []},
    )


FAULTS = [
    ("", set()),
    ("stale", {"read-your-writes", "fresh-read"}),
    ("lose", {"acknowledged-survives"}),
    ("twice", {"at-most-once"}),
    ("lie", {"truthful-not-run"}),
    ("tear", {"whole-transaction"}),
]


@pytest.mark.parametrize(("fault", "broken"), FAULTS, ids=[one[0] for one in FAULTS])
def test_a_run_catches_each_broken_promise(fault: str, broken: set[str]) -> None:
    instance = FakeInstance(fault=fault)
    run = run_experiment(small_scenario(), fleet_of(instance), HOOKS)
    instance.server.stop()
    counts = run.result["broken_promises"]
    assert broken <= {promise for promise, count in counts.items() if count}
    if not fault:
        assert sum(counts.values()) == 0
        assert run.result["wrongful_refusals"] == 0
        assert run.result["replica_read_share"] == 1.0
    assert run.result["operations"] > 100


def test_a_run_needs_a_key_for_each_organisation() -> None:
    instance = FakeInstance()
    fleet = fleet_of(instance) | {"keys": {}}
    with pytest.raises(MissingKeyError, match="oslo-owners"):
        run_experiment(small_scenario(), fleet, HOOKS)
    instance.server.stop()


def test_commands_run_report_and_compare(tmp_path: Path) -> None:
    instance = FakeInstance()
    scenario, fleet, result = (
        tmp_path / f"{name}.json" for name in ("scenario", "fleet", "result")
    )
    scenario.write_bytes(msgspec.json.encode(small_scenario()))
    document = fleet_of(instance) | {"routes": {}}
    fleet.write_bytes(msgspec.json.encode(document))
    runner = CliRunner()
    # The ledger needs a database's fault port, which the fake has none of.
    missing = runner.invoke(main, ["run", str(scenario), "--fleet", str(fleet)])
    assert missing.exit_code == 1
    assert "rota-east: got no primary" in missing.output
    run = run_experiment(small_scenario(), fleet_of(instance), HOOKS)
    result.write_bytes(msgspec.json.encode(run.result))
    rendered = runner.invoke(main, ["report", str(result)])
    assert rendered.exit_code == 0, rendered.output
    page = result.with_suffix(".html").read_text()
    assert page.count("<svg") == 5
    assert "read-your-writes" in page
    compared = runner.invoke(main, ["compare", str(result), str(result)])
    assert compared.exit_code == 0, compared.output
    verdicts = {line.split()[-1] for line in compared.output.splitlines()[1:]}
    assert verdicts == {"noise", "one-run-each"}
    instance.server.stop()


@pytest.mark.parametrize("rate", [0.0, 200.0], ids=["closed", "open"])
def test_steady_prints_a_summary(rate: float) -> None:
    instance = FakeInstance()
    arguments = ["steady", "--caller", instance.base, "--route", "rota-east"]
    arguments += ["--key", "good", "--count", "4", "--seconds", "0.4"]
    done = CliRunner().invoke(main, [*arguments, "--rate", str(rate)])
    instance.server.stop()
    assert done.exit_code == 0, done.output
    summary = msgspec.json.decode(done.output)
    assert summary["answered"] > 0
    assert summary["refused"] == {}
    assert summary["reads"]["p99_ms"] > 0


@pytest.mark.parametrize("name", ["nowhere", "kattevakt-storm"])
def test_an_unknown_scenario_is_misuse(name: str, tmp_path: Path) -> None:
    fleet = tmp_path / "fleet.json"
    fleet.write_bytes(b"{}")
    done = CliRunner().invoke(main, ["run", name, "--fleet", str(fleet)])
    assert done.exit_code == 2
    assert "kattevakt-calm" in done.output
