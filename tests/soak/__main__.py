"""Plays seeded soaks by hand: ``make soak SEED=1 N=50 JOBS=2``."""

from __future__ import annotations

import tempfile
from concurrent.futures import ThreadPoolExecutor
from functools import partial
from pathlib import Path

import click

from soak.site import Site, SoakSettings, random_faults


@click.command()
@click.option("--seed", default=1, help="First seed.")
@click.option("--runs", default=50, help="Number of seeds.")
@click.option("--jobs", default=2, help="Runs at the same time.")
@click.option("--entries", default=3, help="Entries of each run.")
@click.option("--hosts", default=6, help="Hosts of each run.")
@click.option("--faults", default=7, help="Faults of each run.")
@click.option("--only", is_flag=True, help="Lists the faults and plays nothing.")
def main(
    seed: int, runs: int, jobs: int, entries: int, hosts: int, faults: int, only: bool
) -> None:
    """Plays runs with random faults; ends with 1 if one breaks a promise."""
    settings = [
        SoakSettings(
            seed=each,
            entries=entries,
            hosts=hosts,
            faults=faults,
            jobs_per_s=2.0 * hosts,
        )
        for each in range(seed, seed + runs)
    ]
    if only:
        for each in settings:
            click.echo(f"seed {each.seed}: {random_faults(each)}")
        return
    folder = Path(tempfile.mkdtemp(prefix="soak-"))
    with ThreadPoolExecutor(jobs) as pool:
        failed = sum(pool.map(partial(_play, folder), settings))
    click.echo(f"{runs} runs, {failed} with a broken promise; logs in {folder}")
    raise SystemExit(1 if failed else 0)


def _play(folder: Path, settings: SoakSettings) -> bool:
    own = folder / f"seed-{settings.seed}"
    own.mkdir()
    with Site(settings, own) as site:
        broken = site.play(random_faults(settings))
    click.echo(
        f"seed {settings.seed}: {site.observer.starts} starts, {broken or 'held'}"
    )
    return bool(broken)


if __name__ == "__main__":
    main()
