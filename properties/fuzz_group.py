"""Walk a group's world from many seeds and print what was covered."""

from __future__ import annotations

import click

from .group_walk import explore


@click.command()
@click.option("--walks", default=5000, show_default=True)
@click.option("--first", default=1_000_000, show_default=True)
@click.option("--steps", default=300, show_default=True)
def main(walks: int, first: int, steps: int) -> None:
    """Stop with the seed of the first walk that breaks a promise."""
    leads = acknowledged = shown = not_run = 0
    for seed in range(first, first + walks):
        size = 5 if seed % 4 == 0 else 3
        try:
            facts = explore(seed, steps=steps, size=size, instances=2 + seed % 2).facts
        except Exception as error:
            raise click.ClickException(f"seed {seed}: {error!r}") from error
        leads += len(facts.leads) - 1
        acknowledged += len(facts.acknowledged)
        shown += facts.shown
        not_run += len(facts.not_run)
    click.echo(f"fuzz_group_walks {walks} walks")
    click.echo(f"fuzz_group_promotions {leads} promotions")
    click.echo(f"fuzz_group_acknowledged {acknowledged} writes")
    click.echo(f"fuzz_group_not_run {not_run} writes")
    click.echo(f"fuzz_group_reads {shown} reads")


if __name__ == "__main__":
    main()
