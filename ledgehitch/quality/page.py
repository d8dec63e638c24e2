"""Renders the quality report as a self-contained HTML page with verdict, tables and charts. Free of I/O."""

import html
import re
from collections.abc import Callable
from datetime import UTC, datetime
from typing import Any

import pygal
from pygal.style import Style

CHARTED = 6  # groups of a kind in one chart: the culprits and the worst
SHOWN = 40  # rows in one table
STYLE = Style(background="transparent", plot_background="transparent", font_family="sans-serif")
Group = dict[str, Any]
MEASURES: tuple[tuple[str, Callable[[Group], float | None]], ...] = (
    ("bad viewings, %", lambda group: _share(group, "bad")),
    ("viewings with stalls, %", lambda group: _share(group, "stalled")),
    ("viewings with rung drops, %", lambda group: _share(group, "dropped")),
    ("median start, ms", lambda group: group["start_p50"]),
)
HEAD = """<!doctype html><html lang="en"><meta charset="utf-8"><title>Quality by rack and title</title>
<style>body{font-family:sans-serif;max-width:70rem;margin:2rem auto;padding:0 1rem}
table{border-collapse:collapse}
td,th{padding:.2rem .7rem;text-align:right}td:first-child,th:first-child{text-align:left}
.blamed{color:#b00020;font-weight:bold}.charts{display:flex;flex-wrap:wrap}.charts>div{width:34rem}</style>"""


def _share(group: Group, name: str) -> float | None:
    return round(100 * group[name] / group["viewings"], 2) if group["viewings"] else None


def render_page(report: dict[str, Any]) -> str:
    """Returns the HTML page for the data of a gateway's `/quality/report`."""
    verdict = report["verdict"]
    blamed = {(c["kind"], c["name"]): c for c in verdict["culprits"]}
    parts = [HEAD, "<h1>Quality by rack and title</h1>"]
    mark = ' class="blamed"' if blamed else ""
    parts.append(f"<p{mark}>{html.escape(verdict['word'])}</p>")
    parts += [f"<p>unclear: {html.escape(line)}</p>" for line in verdict["unclear"]]
    sources = ", ".join([report["gateway"], *report["heard_of"]])
    parts.append(f"<p>As {html.escape(report['gateway'])} knows it; counts of {html.escape(sources)}.</p>")
    for kind in ("rack", "title", "package", "rung"):
        groups = report["groups"][kind]
        worst = sorted(
            groups,
            key=lambda group: ((kind, group) not in blamed, -(_share(groups[group], "bad") or 0.0), group),
        )
        parts.append(f"<h2>By {kind}</h2>" + _table(kind, groups, worst[:SHOWN], blamed))
        if kind in ("package", "rung"):
            continue
        parts.append('<div class="charts">')
        parts += [
            f"<div>{_chart(report['series'], kind, worst[:CHARTED], blamed, *m)}</div>" for m in MEASURES
        ]
        parts.append("</div>")
    return "\n".join([*parts, "</html>\n"])


def _table(kind: str, groups: dict[str, Group], names: list[str], blamed: dict[tuple[str, str], Any]) -> str:
    rows = [
        f"<tr><th>{kind}<th>viewings<th>bad<th>stalls<th>slow start<th>drops<th>start p50, ms<th>p95"
        "<th>to blame"
    ]
    for name in names:
        group, culprit = groups[name], blamed.get((kind, name))
        shares = "".join(
            f"<td>{_share(group, share_name) or 0:.1f}%"
            for share_name in ("bad", "stalled", "slow", "dropped")
        )
        shares += "".join(
            f"<td>{group[key]:.0f}" if group[key] is not None else "<td>-"
            for key in ("start_p50", "start_p95")
        )
        excess_text = (
            f"+{100 * culprit['excess']:.0f}%, at least {100 * culprit['least']:.0f}%" if culprit else ""
        )
        mark = ' class="blamed"' if culprit else ""
        rows.append(f"<tr{mark}><td>{html.escape(name)}<td>{group['viewings']}{shares}<td>{excess_text}")
    return "<table>" + "\n".join(rows) + "</table>"


def _chart(
    series: dict[str, Any],
    kind: str,
    names: list[str],
    blamed: dict[tuple[str, str], Any],
    title: str,
    measure: Callable[[Group], float | None],
) -> str:
    chart = pygal.Line(title=title, height=300, style=STYLE, js=[], show_dots=False, x_label_rotation=30)
    times = sorted(series, key=int)
    step = max(1, len(times) // 8)
    chart.x_labels = [datetime.fromtimestamp(int(t), UTC).strftime("%H:%M:%S") for t in times]
    chart.x_labels_major_every = step
    chart.show_minor_x_labels = False
    for name in names:
        values = [measure(series[t][kind][name]) if name in series[t][kind] else None for t in times]
        label = f"{name} (to blame)" if (kind, name) in blamed else name
        chart.add(label, values, stroke_style={"width": 4 if (kind, name) in blamed else 1})
    svg = str(chart.render(is_unicode=True, disable_xml_declaration=True))
    return re.sub(r"<script.*?</script>", "", svg, flags=re.DOTALL)  # static page
