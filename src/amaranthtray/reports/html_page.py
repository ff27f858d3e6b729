"""Renders the burn report as a self-contained HTML page without external resources."""

from __future__ import annotations

import math
from html import escape
from typing import TYPE_CHECKING

from ._format import COLUMNS, COMPLETENESS_NOTE, cells, rate_text, warnings
from .burn import Severity
from .counts import WINDOWS

if TYPE_CHECKING:
    from collections.abc import Iterable

    from .burn import BurnReport, BurnRow

BAR_HEIGHT_PX = 12
ROW_GAP_PX = 10
LABEL_WIDTH_PX = 180
PLOT_WIDTH_PX = 560
TEXT_WIDTH_PX = 80
MIN_RATE = 0.01
MAX_RATE = 1_000.0
GRID_RATES = (0.01, 0.1, 1, 10, 100, 1_000)
COLOURS = ("#bcd4e6", "#7fb0d0", "#3f7fa8", "#1c4f70")

_MARKED = frozenset({Severity.PAGE, Severity.TICKET})

_STYLE = """
body { font: 14px/1.5 sans-serif; margin: 2em; color: #222; }
table { border-collapse: collapse; margin: 0 0 2em; }
th, td { padding: .2em .8em; border-bottom: 1px solid #ddd; text-align: right; }
th:first-child, td:first-child { text-align: left; }
.page { color: #b00020; font-weight: bold; }
.ticket { color: #a05a00; }
.warning { background: #fff3d6; padding: .3em .8em; }
""".strip()


def to_html(report: BurnReport, *, generated_at: str) -> str:
    """Returns the HTML page.

    Args:
        report: The merged report.
        generated_at: Wall-clock time shown as the time of the report.
    """
    notes = "".join(
        f'<p class="warning">{escape(line)}</p>\n' for line in warnings(report)
    )
    answered = escape(", ".join(report.answered) or "none")
    return (
        '<!DOCTYPE html>\n<html lang="en">\n<head>\n<meta charset="utf-8">\n'
        f"<title>Service-level burn</title>\n<style>{_STYLE}</style>\n</head>\n<body>\n"
        f"<h1>Service-level burn</h1>\n<p>Generated {escape(generated_at)}; "
        f"entries counted: {answered}.</p>\n{notes}"
        "<p>A burn rate of 1 uses up the error budget exactly. "
        f"{escape(COMPLETENESS_NOTE)}</p>\n"
        f"{_svg_plot(report.services)}\n"
        f"<h2>By service</h2>\n{_table(report.services)}\n"
        f"<h2>By team</h2>\n{_table(report.teams)}\n</body>\n</html>\n"
    )


def _table(rows: Iterable[BurnRow]) -> str:
    head = "".join(f"<th>{escape(name)}</th>" for name in COLUMNS)
    body = "\n".join(_table_row(row) for row in rows)
    return f"<table>\n<tr>{head}</tr>\n{body}\n</table>"


def _table_row(row: BurnRow) -> str:
    kind = row.severity.value if row.severity in _MARKED else ""
    columns = "".join(f"<td>{escape(cell)}</td>" for cell in cells(row))
    return f'<tr class="{kind}">{columns}</tr>'


def _svg_plot(rows: tuple[BurnRow, ...]) -> str:
    """Returns an inline SVG with a bar for each burn rate, on a logarithmic axis."""
    row_height = BAR_HEIGHT_PX * len(WINDOWS) + ROW_GAP_PX
    height = row_height * len(rows) + 2 * BAR_HEIGHT_PX
    width = LABEL_WIDTH_PX + PLOT_WIDTH_PX + TEXT_WIDTH_PX
    parts = [_grid_line(rate, height) for rate in GRID_RATES]
    for number, row in enumerate(rows):
        parts += _bars(row, number * row_height + ROW_GAP_PX)
    return (
        f'<svg xmlns="http://www.w3.org/2000/svg" width="{width}" height="{height}" '
        f'role="img" aria-label="Burn rates by service" font-size="11">\n'
        + "\n".join(parts)
        + "\n</svg>"
    )


def _grid_line(rate: float, height: int) -> str:
    x = LABEL_WIDTH_PX + _x_px(rate)
    bottom = height - 2 * BAR_HEIGHT_PX
    colour = "#b00020" if rate == 1 else "#ddd"
    return (
        f'<line x1="{x:.1f}" y1="0" x2="{x:.1f}" y2="{bottom}" stroke="{colour}"/>'
        f'<text x="{x:.1f}" y="{height - 4}" text-anchor="middle">{rate:g}</text>'
    )


def _bars(row: BurnRow, top: int) -> list[str]:
    parts = [f'<text x="0" y="{top + BAR_HEIGHT_PX}">{escape(row.queue)}</text>']
    windows = zip(WINDOWS, row.rates, COLOURS, strict=True)
    for number, (window, rate, colour) in enumerate(windows):
        y = top + number * BAR_HEIGHT_PX
        text = f"{window.name}: {rate_text(rate)}"
        width = 0.0 if rate is None else _x_px(rate)
        x = LABEL_WIDTH_PX + width + 4
        parts.append(
            f'<rect x="{LABEL_WIDTH_PX}" y="{y}" width="{width:.1f}" '
            f'height="{BAR_HEIGHT_PX - 2}" fill="{colour}"/>'
            f'<text x="{x:.1f}" y="{y + BAR_HEIGHT_PX - 3}">{escape(text)}</text>'
        )
    return parts


def _x_px(rate: float) -> float:
    """Returns the position of a rate on the logarithmic axis in pixels."""
    clamped = min(max(rate, MIN_RATE), MAX_RATE)
    span = math.log10(MAX_RATE / MIN_RATE)
    return PLOT_WIDTH_PX * math.log10(clamped / MIN_RATE) / span
