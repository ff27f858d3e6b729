"""Commands for maintenance waves."""

from __future__ import annotations

from dataclasses import asdict

import click

from ..domain.configuration import PutWave, SetWaveState, Wave, WaveAction, WaveState
from ..domain.ids import WaveName
from .errors import input_error
from .options import GroupWithOutput, yes_option
from .output import print_records, print_reply
from .session import Session, pass_session, unwrap


@click.group(cls=GroupWithOutput)
def wave() -> None:
    """Maintenance waves."""


@wave.command("list")
@pass_session
def list_waves(session: Session) -> None:
    """Lists the waves in the configuration."""
    waves = session.configuration().waves.values()
    print_records([asdict(item) for item in waves], session.output)


@wave.command("show")
@click.argument("name")
@pass_session
def show_wave(session: Session, name: str) -> None:
    """Shows the progress of a wave and its estimated end."""
    print_reply(unwrap(session.client().read(f"waves/{name}")), session.output)


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
    """Starts a wave, within the availability budget of each pool."""
    cfg = session.configuration()
    known = cfg.waves.get(WaveName(name))
    if known and known.state != WaveState.ABORTED and not session.op_id:
        fix = "choose another name; `wave resume` resumes a paused wave"
        raise input_error(f"wave {name!r} exists", where="NAME", fix=fix)
    new_wave = Wave(WaveName(name), selector, WaveAction(action), order=order)
    committed = session.commit(
        [PutWave(new_wave)],
        expected=cfg.revision,
        warning=f"Hosts that match are drained; action: {action}.",
        yes=yes,
    )
    session.print_committed(committed, wave=name)


@wave.command("pause")
@click.argument("name")
@pass_session
def pause_wave(session: Session, name: str) -> None:
    """Stops new drains of a wave; hosts already out of service finish."""
    _set_state(session, name, WaveState.PAUSED)


@wave.command("resume")
@click.argument("name")
@yes_option
@pass_session
def resume_wave(session: Session, name: str, yes: bool) -> None:
    """Resumes a paused wave."""
    _set_state(session, name, WaveState.RUNNING, warning="Hosts are drained.", yes=yes)


@wave.command("abort")
@click.argument("name")
@yes_option
@pass_session
def abort_wave(session: Session, name: str, yes: bool) -> None:
    """Ends a wave permanently; drains that can be revoked are revoked."""
    warning = "The wave can't be resumed."
    _set_state(session, name, WaveState.ABORTED, warning=warning, yes=yes)


def _set_state(
    session: Session,
    name: str,
    state: WaveState,
    *,
    warning: str = "",
    yes: bool = False,
) -> None:
    cfg = session.configuration()
    if WaveName(name) not in cfg.waves:
        fix = "see `amaranthtray wave list`"
        raise input_error(f"no wave {name!r}", where="NAME", fix=fix)
    change = SetWaveState(WaveName(name), state)
    committed = session.commit(
        [change], expected=cfg.revision, warning=warning, yes=yes
    )
    session.print_committed(committed, wave=name, state=state.value)
