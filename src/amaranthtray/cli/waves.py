"""Commands for maintenance waves."""

from __future__ import annotations

from dataclasses import asdict

import click

from ..domain.configuration import PutWave, SetWaveState, Wave, WaveAction, WaveState
from ..domain.ids import WaveName
from .errors import faulty
from .options import FleetGroup, yes_option
from .output import print_records, print_tree
from .session import Session, pass_session, unwrap


@click.group(cls=FleetGroup)
def wave() -> None:
    """Maintenance waves."""


@wave.command("list")
@pass_session
def list_waves(session: Session) -> None:
    """Lists the waves that operators asked for."""
    waves = session.configuration().waves.values()
    print_records([asdict(item) for item in waves], session.output)


@wave.command("show")
@click.argument("name")
@pass_session
def show_wave(session: Session, name: str) -> None:
    """Shows a wave's progress and its estimated end."""
    print_tree(unwrap(session.client().read(f"waves/{name}")), session.output)


@wave.command("start")
@click.argument("name")
@click.option("--selector", required=True, help="Hosts to maintain.")
@click.option(
    "--action",
    type=click.Choice([action.value for action in WaveAction]),
    default=WaveAction.REBOOT.value,
    show_default=True,
)
@click.option("--order", default="", help="Label whose value orders the hosts.")
@yes_option
@pass_session
def start_wave(
    session: Session, name: str, selector: str, action: str, order: str, yes: bool
) -> None:
    """Starts a wave; each pool's availability budget is kept."""
    cfg = session.configuration()
    known = cfg.waves.get(WaveName(name))
    if known and known.state != WaveState.ABORTED and not session.op_id:
        fix = "choose another name; `wave resume` goes on with a paused wave"
        raise faulty(f"wave {name!r} exists", where="NAME", fix=fix)
    asked = Wave(WaveName(name), selector, WaveAction(action), order=order)
    committed = session.commit(
        [PutWave(asked)],
        expected=cfg.revision,
        harm=f"Hosts that match are drained; action: {action}.",
        yes=yes,
    )
    session.done(committed, wave=name)


@wave.command("pause")
@click.argument("name")
@pass_session
def pause_wave(session: Session, name: str) -> None:
    """Stops new drains of a wave; hosts already out finish."""
    _set_state(session, name, WaveState.PAUSED)


@wave.command("resume")
@click.argument("name")
@yes_option
@pass_session
def resume_wave(session: Session, name: str, yes: bool) -> None:
    """Goes on with a paused wave."""
    _set_state(session, name, WaveState.RUNNING, harm="Hosts are drained.", yes=yes)


@wave.command("abort")
@click.argument("name")
@yes_option
@pass_session
def abort_wave(session: Session, name: str, yes: bool) -> None:
    """Ends a wave for ever; drains that can be revoked are revoked."""
    harm = "The wave can't be resumed."
    _set_state(session, name, WaveState.ABORTED, harm=harm, yes=yes)


def _set_state(
    session: Session, name: str, state: WaveState, *, harm: str = "", yes: bool = False
) -> None:
    cfg = session.configuration()
    if WaveName(name) not in cfg.waves:
        fix = "see `amaranthtray wave list`"
        raise faulty(f"no wave {name!r}", where="NAME", fix=fix)
    change = SetWaveState(WaveName(name), state)
    committed = session.commit([change], expected=cfg.revision, harm=harm, yes=yes)
    session.done(committed, wave=name, state=state.value)
