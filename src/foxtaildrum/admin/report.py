"""Report of service-level burn rates as text, JSON or an HTML page with plots."""

from __future__ import annotations

import html
import json
from collections.abc import Callable
from typing import Any

from .objectives import WINDOWS_S, compute_burn_rates

Formatter = Callable[[list[dict[str, Any]]], str]

BUCKETS_PER_MINUTE = 6
PLOT_WIDTH_PX = 900
PLOT_HEIGHT_PX = 320

_FORMATTERS: dict[str, Formatter] = {}

_STYLE = """
body{font:16px/1.5 system-ui,sans-serif;margin:2rem auto;max-width:60rem;
color:#222;padding:0 1rem}
table{border-collapse:collapse;width:100%;margin:1rem 0}
th,td{padding:.4rem .6rem;text-align:right;border-bottom:1px solid #ddd}
th:first-child,td:first-child{text-align:left}
.page{background:#c0392b;color:#fff}.ticket{background:#f39c12}.none{background:#dff0d8}
.alert{border-radius:.3rem;padding:.1rem .5rem}
figure{margin:1rem 0 2.5rem}
"""


def register_format(name: str) -> Callable[[Formatter], Formatter]:
    """Register the decorated function as the report format ``name``."""

    def register(function: Formatter) -> Formatter:
        _FORMATTERS[name] = function
        return function

    return register


def list_formats() -> list[str]:
    """Return the names of the registered formats, sorted."""
    return sorted(_FORMATTERS)


def format_report(levels: list[dict[str, Any]], name: str) -> str:
    """Return the report on the service levels ``levels`` in the format ``name``."""
    rows = [{**level, **compute_burn_rates(level)} for level in levels]
    return _FORMATTERS[name](rows)


@register_format("json")
def format_json(rows: list[dict[str, Any]]) -> str:
    """Return the report as JSON."""
    return json.dumps({"routes": rows}, indent=2) + "\n"


@register_format("text")
def format_text(rows: list[dict[str, Any]]) -> str:
    """Return the report as an aligned table."""
    header = ["route", "objective", *WINDOWS_S, "budget left", "requests 3d", "alert"]
    lines = [header] + [_list_cells(row) for row in rows]
    widths = [max(len(line[i]) for line in lines) for i in range(len(header))]
    text = "\n".join(
        "  ".join(cell.ljust(width) for cell, width in zip(line, widths, strict=True)).rstrip()
        for line in lines
    )
    return (
        text
        + "\n\nBurn rates: 1.00 spends the error budget exactly; 5m and 1h above 14.4 page, "
        "6h and 3d above 1 open a ticket.\n"
    )


@register_format("html")
def format_html(rows: list[dict[str, Any]]) -> str:
    """Return the report as a self-contained HTML page with plots."""
    head = "".join(
        f"<th>{name}</th>"
        for name in ("Route", "Objective", *WINDOWS_S, "Budget left", "Requests 3d", "Alert")
    )
    body = "".join(_format_html_row(row) for row in rows)
    plots = "".join(_plot_route(row) for row in rows)
    return (
        "<!doctype html><html lang=en><head><meta charset=utf-8>"
        f"<title>Service-level burn</title><style>{_STYLE}</style></head><body>"
        "<h1>Service-level burn</h1><p>A burn rate of 1 spends the error budget exactly. "
        "5m and 1h both above 14.4 page; 6h and 3d both above 1 open a ticket.</p>"
        f"<table><thead><tr>{head}</tr></thead><tbody>{body}</tbody></table>{plots}"
        "</body></html>\n"
    )


def _list_cells(row: dict[str, Any]) -> list[str]:
    objective = f"{row['objective_ratio'] * 100:g}% < {row['objective_latency_ms']} ms"
    rates = [f"{row['rates'][name]:.2f}" for name in WINDOWS_S]
    total = str(row["windows"]["3d"]["total"])
    return [
        row["route"],
        objective,
        *rates,
        f"{row['budget_left_ratio']:.1%}",
        total,
        row["alert"],
    ]


def _format_html_row(row: dict[str, Any]) -> str:
    *cells, alert = _list_cells(row)
    text = "".join(f"<td>{html.escape(cell)}</td>" for cell in cells)
    return f'<tr>{text}<td><span class="alert {alert}">{alert}</span></td></tr>'


def _plot_route(row: dict[str, Any]) -> str:
    recent = row["recent"]
    minutes = [
        recent[i : i + BUCKETS_PER_MINUTE] for i in range(0, len(recent), BUCKETS_PER_MINUTE)
    ]
    allowed_bad_ratio = 1.0 - row["objective_ratio"]
    burn_rates = []
    for minute in minutes:
        total = sum(pair[0] for pair in minute)
        bad = sum(pair[1] for pair in minute)
        burn_rates.append(round(bad / total / allowed_bad_ratio, 3) if total else None)
    # Imported here because pygal is large, and only the HTML report needs it.
    import pygal
    from pygal.style import CleanStyle

    chart = pygal.Line(
        width=PLOT_WIDTH_PX,
        height=PLOT_HEIGHT_PX,
        style=CleanStyle,
        js=[],
        show_legend=False,
        title=f"{row['route']}: burn rate by minute, last hour",
        x_title="minutes ago",
        y_title="burn rate",
        x_labels=[str(len(minutes) - i) for i in range(len(minutes))],
        x_labels_major_every=10,
        show_minor_x_labels=False,
        include_x_axis=True,
        dots_size=2,
        no_data_text="no requests",
        truncate_label=-1,
    )
    chart.add("burn rate", burn_rates)
    return f"<figure>{chart.render(is_unicode=True, disable_xml_declaration=True)}</figure>"
