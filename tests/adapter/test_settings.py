"""The settings template matches the model of the settings."""

from __future__ import annotations

import re
from pathlib import Path
from typing import Any

import pytest
from returns.result import Failure, Success

from amaranthtray.domain.duties.placement import MachineSize
from amaranthtray.jobs.entry import JobEntry
from amaranthtray.jobs.evacuation_follower import NoEvacuations
from amaranthtray.jobs.metrics_registry import MetricsRegistry
from amaranthtray.platform.run import PlatformAdapter
from amaranthtray.settings.job_entry import load_job_entry

ROOT = Path(__file__).parents[2]
TEMPLATE = ROOT / "deploy" / "settings.toml.template"

VALUES = {
    "nodeName": '"frontend-1"',
    "zone": '"z"',
    "bindAddresses.frontend": '"10.1.0.1:8340"',
    "bindAddresses.readiness": '"10.1.0.1:8343"',
    "limits.cpuShare": "0.5",
    "limits.cores": "3",
    "limits.linkMbps": "5.0",
    "platform.address": '"10.2.0.1:80"',
    "platform.valueBytes": "500000",
    "bounds.maxHoldMs": "6000",
    "cloud.address": '"10.2.0.2:80"',
    "bounds.leaseMs": "3000",
    "bounds.drainMs": "2500",
    "bounds.cancel_ms": "4000",
    "bounds.status_s": "120",
    "bounds.revokeMs": "5000",
    "bounds.evacuationMs": "5000",
    ".": '"10.2.0.3:80"',
}


def filled() -> str:
    """Returns the template with values, as the platform fills it in."""
    text = re.sub(r"\{\{[#/][\w.]+\}\}\n?", "", TEMPLATE.read_text())
    text = text.replace("{{ip}}:{{internalPorts.0}}", "10.1.0.1:7000")
    return re.sub(r"\{\{([\w.]+)\|json\}\}", lambda found: VALUES[found[1]], text)


def test_the_filled_template_is_read(tmp_path: Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(filled())
    settings = load_job_entry(str(path)).unwrap()
    assert settings.entry.metrics_address == "10.1.0.1:7000"
    assert settings.store.max_value_bytes == 500_000
    assert settings.hosts.leaving_start_limit_ms == 2_500
    assert settings.jobs.cancellation_limit_ms == 4_000
    assert settings.machine.size == MachineSize(cores=1.5, link_mbps=5.0)
    assert settings.machines is not None
    assert settings.advice is not None
    assert settings.evacuation is not None


def test_without_the_platforms_limit_a_value_has_a_mebibyte(tmp_path: Path) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(filled().replace("max_value_bytes = 500000\n", ""))
    assert load_job_entry(str(path)).unwrap().store.max_value_bytes == 1 << 20


def test_without_its_section_no_evacuation_is_followed(tmp_path: Path) -> None:
    """A deployment without the limit makes no call of the store for it."""
    path = tmp_path / "settings.toml"
    path.write_text(filled().partition("[evacuation]")[0])
    settings = load_job_entry(str(path)).unwrap()
    assert settings.evacuation is None
    store: Any = object()
    entry = JobEntry(settings, store, PlatformAdapter(settings), MetricsRegistry())
    assert isinstance(entry._context.evacuations, NoEvacuations)
    assert "evacuated" not in entry.render_metrics()


@pytest.mark.parametrize(
    ("old", "new", "expected"),
    [
        ('zone = "z"', "", "zone"),
        ("max_lease_ms = 6000", 'max_lease_ms = "long"', "max_lease_ms"),
        ("[store]", "[stor]", "stor"),
        ("link_mbps = 5.0", "link_mbps = 0", "link_mbps"),
        ("[entry]", "[entry", "line"),
        ("[entry]", "[scheduling]\nremote_factor = 0.9\n[entry]", ">= 1"),
        ("[entry]", "[scheduling]\nremote_factor = inf\n[entry]", "remote_factor"),
        ("[entry]", "[scheduling]\nremote_factor = nan\n[entry]", "remote_factor"),
    ],
)
def test_invalid_settings_are_refused_with_name_and_place(
    tmp_path: Path, old: str, new: str, expected: str
) -> None:
    path = tmp_path / "settings.toml"
    path.write_text(filled().replace(old, new))
    loaded = load_job_entry(str(path))
    assert not isinstance(loaded, Success)
    assert isinstance(loaded, Failure)
    assert expected in str(loaded.failure())
    assert str(path) in str(loaded.failure())
