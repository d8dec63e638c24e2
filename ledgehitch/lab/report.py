"""An experiment on one page: tables and charts, as HTML that needs nothing else, and as PNG."""

import base64
import html
import io
from collections.abc import Callable, Mapping
from pathlib import Path
from typing import Any

import matplotlib

matplotlib.use("Agg")

import matplotlib.pyplot as plt  # noqa: E402
import numpy as np  # noqa: E402
from scipy import stats  # noqa: E402

from ledgehitch.lab.facts import AS_IS  # noqa: E402
from ledgehitch.lab.store import MEASURES  # noqa: E402

Results = list[tuple[dict[str, Any], dict[str, Any]]]  # what run it was, all that it gave
HEAD = """<!doctype html><html lang="en"><meta charset="utf-8"><title>{name}</title>
<style>body{{font-family:sans-serif;max-width:75rem;margin:2rem auto;padding:0 1rem}}img{{max-width:100%}}
table{{border-collapse:collapse}}td,th{{padding:.2rem .7rem;text-align:right}}
td:first-child,th:first-child{{text-align:left}}</style><h1>{name}</h1>
<p>Simulated: played in the model, {runs} runs, code {code}. Bars show 95% intervals over seeds.</p>"""


def _label(run: Mapping[str, Any]) -> str:
    return ", ".join(str(run[k]) for k in ("day", "size", "fault", "setting") if run[k] != AS_IS)


def _grouped(results: Results) -> dict[str, list[dict[str, Any]]]:
    out: dict[str, list[dict[str, Any]]] = {}
    for run, result in results:
        out.setdefault(_label(run), []).append(result)
    return out


def _interval(values: list[float]) -> tuple[float, float]:
    n = len(values)
    half = float(stats.t.ppf(0.975, n - 1)) * float(np.std(values, ddof=1)) / n**0.5 if n > 1 else 0.0
    return float(np.mean(values)), half


def _bars(groups: dict[str, list[dict[str, Any]]]) -> Any:
    names = [name for name in MEASURES if name != "breaches"]
    figure, axes = plt.subplots(2, 3, figsize=(15, 3 + 0.5 * len(groups)))
    for ax, name in zip(axes.flat, names, strict=True):
        both = [_interval([r["measures"][name] for r in rs]) for rs in groups.values()]
        ax.barh(list(groups), [m for m, _ in both], xerr=[h for _, h in both])
        ax.set_title(name)
        ax.invert_yaxis()
    return figure


def _lost(groups: dict[str, list[dict[str, Any]]]) -> Any:
    causes = sorted({c for rs in groups.values() for r in rs for c in r["service"]["lost_by_cause"]})
    figure, ax = plt.subplots(figsize=(12, 1.5 + 0.5 * len(groups)))
    left = np.zeros(len(groups))
    for cause in causes:
        part = np.array(
            [np.mean([r["service"]["lost_by_cause"].get(cause, 0.0) for r in rs]) for rs in groups.values()]
        )
        ax.barh(list(groups), part, left=left, label=cause)
        left += part
    ax.set_title("worth that was asked for and not earned, by cause")
    ax.invert_yaxis()
    ax.legend()
    return figure


def _over_time(groups: dict[str, list[dict[str, Any]]]) -> Any:
    figure, (top, bottom) = plt.subplots(2, 1, figsize=(12, 8))
    for label, results in groups.items():
        asked: dict[int, float] = {}
        earned: dict[int, float] = {}
        for r in results:
            for s, (a, e) in r["service"]["by_second"].items():
                asked[int(s)] = asked.get(int(s), 0.0) + a
                earned[int(s)] = earned.get(int(s), 0.0) + e
        times = sorted(s for s in asked if asked[s] > 0)
        top.plot(times, [earned[s] / asked[s] for s in times], label=label)
    top.set_title("service over the day")
    top.legend(fontsize="small")
    label, results = next(iter(groups.items()))
    samples = results[0]["samples"]
    times = sorted(int(s) for s in samples)
    rungs = np.array([samples[str(s)]["rungs"] for s in times], float).T
    bottom.stackplot(times, rungs, labels=[f"rung {i}" for i in range(len(rungs))])
    bottom.set_title(f"viewings by rung: {label}, first seed")
    bottom.legend(fontsize="small")
    return figure


def _racks(groups: dict[str, list[dict[str, Any]]]) -> Any:
    figure, axes = plt.subplots(len(groups), 1, figsize=(12, 2.2 * len(groups)), squeeze=False)
    for ax, (label, results) in zip(axes.flat, groups.items(), strict=True):
        samples = results[0]["samples"]
        times = sorted(int(s) for s in samples)
        racks = sorted({r for s in samples.values() for r in s["racks"]}, key=int)
        heat = np.array([[samples[str(t)]["racks"].get(r, np.nan) for t in times] for r in racks])
        shown = ax.imshow(heat, aspect="auto", vmin=0, vmax=1.1, cmap="inferno", interpolation="nearest")
        ax.set_title(f"use of racks' uplinks: {label}, first seed", fontsize="small")
        figure.colorbar(shown, ax=ax)
    return figure


CHARTS: tuple[tuple[str, Callable[[dict[str, list[dict[str, Any]]]], Any]], ...] = (
    ("figures", _bars),
    ("lost", _lost),
    ("time", _over_time),
    ("racks", _racks),
)


def written(name: str, code: str, results: Results, path: Path) -> list[Path]:
    """Writes the page at `path`, and each chart beside it as PNG; what was written."""
    groups = _grouped(results)
    parts = [HEAD.format(name=html.escape(name), runs=len(results), code=html.escape(code)), _table(groups)]
    made = [path]
    for chart, draw in CHARTS:
        figure = draw(groups)
        figure.tight_layout()
        buffer = io.BytesIO()
        figure.savefig(buffer, format="png", dpi=90, metadata={"Software": None})
        plt.close(figure)
        image = path.with_name(f"{path.stem}-{chart}.png")
        image.write_bytes(buffer.getvalue())
        made.append(image)
        drawn = base64.b64encode(buffer.getvalue()).decode()
        parts.append(f'<h2>{chart}</h2><img alt="{chart}" src="data:image/png;base64,{drawn}">')
    path.write_text("\n".join([*parts, "</html>\n"]), "utf-8")
    return made


def _table(groups: dict[str, list[dict[str, Any]]]) -> str:
    names = MEASURES
    rows = ["<tr><th>run<th>seeds" + "".join(f"<th>{n}" for n in names)]
    for label, results in groups.items():
        cells = "".join(f"<td>{np.mean([r['measures'][n] for r in results]):.3f}" for n in names)
        rows.append(f"<tr><td>{html.escape(label)}<td>{len(results)}{cells}")
    return "<table>" + "\n".join(rows) + "</table>"
