"""One self-contained page and its plots from the folders of one or several runs, side by side."""

import base64
import os
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any

import jinja2
import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402  Danger: a backend with windows would need a screen

from cedarwick.lab.audit_account import worth_of  # noqa: E402
from cedarwick.lab.figures import call_outcome, delivery_times, logical_messages  # noqa: E402
from cedarwick.lab.history import NEVER, History, read  # noqa: E402
from cedarwick.lab.run import Run, read_head  # noqa: E402
from cedarwick.lab.units import SECOND

MOST_LINES = 6  # destinations in one plot: those with the most calls
OUTCOMES = {
    "completed": "#4c9f70",
    "told to wait": "#e0a030",
    "turned away": "#c8743c",
    "error": "#b8405a",
    "spoilt": "#8058a8",
    "no answer": "#606060",
}
SHADES = ("#3060c0", "#c04040", "#308030", "#a07000", "#803090", "#007080")
Axes = Any  # matplotlib has no types of its own for these


class Played:
    """A run's folder, read."""

    def __init__(self, folder: str) -> None:
        self.folder = folder
        self.head: Run = read_head(folder)
        self.history: History = read(os.path.join(folder, "history.jsonl"))
        self.done = delivery_times(self.history)
        self.name = f"{self.head.scenario.name}-{self.head.seed}"

    def step(self) -> int:
        """The width of a bin: some sixty to a day, half a second at least."""
        return max(SECOND // 2, self.head.length // 60)

    def until(self) -> float:
        """The end of the time axis, in seconds."""
        last = max((call.whole for call in self.history.called), default=0)
        return max(self.head.length, last) / SECOND


def write_report(folders: list[str], out: str) -> str:
    """Plots of each run and one page of all, in a folder; the page's path. ValueError, OSError for bad folders."""
    runs = [Played(folder) for folder in folders]
    os.makedirs(out, exist_ok=True)
    rows = []
    for title, sentence, draw in PLOTS:
        cells = []
        for number, run in enumerate(runs):
            path = os.path.join(out, f"{number + 1}-{run.name}-{title.split()[0].lower()}.png")
            plot(run, title, draw, path)
            with open(path, "rb") as file:
                cells.append(base64.b64encode(file.read()).decode())
        rows.append((title, sentence, cells))
    pages = jinja2.Environment(autoescape=True, loader=jinja2.FileSystemLoader(os.path.dirname(__file__)))
    page = pages.get_template("page.html").render(
        runs=runs, rows=rows, class_rows=class_rows(runs), totals=total_rows(runs)
    )
    path = os.path.join(out, "report.html")
    with open(path, "w", encoding="utf-8") as file:
        file.write(page)
    return path


def plot(run: Played, title: str, draw: Callable[[Played, Axes], None], path: str) -> None:
    figure, axes = plt.subplots(figsize=(8.4, 3.1), dpi=110)
    draw(run, axes)
    axes.set_title(f"{title}: {run.head.scenario.name}, seed {run.head.seed}", fontsize=10, loc="left")
    axes.grid(alpha=0.25)
    axes.tick_params(labelsize=8)
    handles, labels = axes.get_legend_handles_labels()
    if handles:
        axes.legend(handles, labels, fontsize=7, loc="upper left", bbox_to_anchor=(1.01, 1.0), frameon=False)
    figure.savefig(path, bbox_inches="tight")
    plt.close(figure)


def shade(run: Played, axes: Axes) -> None:
    """Faults as spans, named at the top in rows of their own; the time axis of the day."""
    faults = sorted(run.history.gone, key=lambda gone: gone.began)
    for number, fault in enumerate(faults):
        colour = SHADES[number % len(SHADES)]
        begin, end = fault.began / SECOND, max(fault.ended, fault.began + SECOND // 10) / SECOND
        axes.axvspan(begin, end, color=colour, alpha=0.10, lw=0)
        axes.text(
            begin,
            1.0 - 0.075 * (number % 4),
            f" {fault.kind}",
            color=colour,
            fontsize=7,
            va="top",
            transform=axes.get_xaxis_transform(),
        )
    axes.axvline(run.head.length / SECOND, color="#999", lw=0.8, ls=":")
    axes.set_xlim(0, run.until())
    axes.set_xlabel("seconds of the day (dotted: the last arrival)", fontsize=8)


def service(run: Played, axes: Axes) -> None:
    priority_classes, step = run.head.scenario.classes_by_name(), run.step()
    asked: defaultdict[str, Counter[int]] = defaultdict(Counter)
    earned: defaultdict[str, defaultdict[int, float]] = defaultdict(lambda: defaultdict(float))
    for name, due, at in logical_messages(run.history, run.done):
        priority_class = priority_classes[name]
        asked[name][due // step] += 1
        if at != NEVER:
            earned[name][due // step] += worth_of(
                priority_class.expected_ms, priority_class.outer_ms, priority_class.late_share, at - due
            )
    for name in priority_classes:
        places = sorted(asked[name])
        axes.plot(
            [(place + 0.5) * step / SECOND for place in places],
            [earned[name][place] / asked[name][place] for place in places],
            label=name,
            lw=1.3,
            marker=".",
            ms=3,
        )
    axes.set_ylim(-0.03, 1.12)
    axes.set_ylabel("worth earned / asked", fontsize=8)
    shade(run, axes)


def outcomes(run: Played, axes: Axes) -> None:
    step = run.step()
    counts: defaultdict[str, Counter[int]] = defaultdict(Counter)
    for call in run.history.called:
        counts[call_outcome(call.status, call.spoilt)][call.whole // step] += 1
    places = range(int(run.until() * SECOND // step) + 1)
    bottom = [0.0] * len(places)
    for name, colour in OUTCOMES.items():
        if name not in counts:
            continue
        heights = [counts[name][place] * SECOND / step for place in places]
        axes.bar(
            [(place + 0.5) * step / SECOND for place in places],
            heights,
            width=step / SECOND,
            bottom=bottom,
            color=colour,
            label=name,
            lw=0,
        )
        bottom = [below + height for below, height in zip(bottom, heights, strict=True)]
    axes.set_ylabel("calls a second", fontsize=8)
    axes.set_ylim(0, max(bottom, default=0) * 1.25 + 1)
    shade(run, axes)


def busiest(run: Played) -> list[int]:
    counts = Counter(handed.destination for handed in run.history.handed)
    met = {call.destination for call in run.history.called if call.status not in (0, 200)}
    return sorted(counts, key=lambda place: (place not in met, -counts[place]))[:MOST_LINES]


def pace(run: Played, axes: Axes) -> None:
    step = run.step()
    counts: defaultdict[int, Counter[int]] = defaultdict(Counter)
    for call in run.history.called:
        counts[call.destination][call.whole // step] += 1
    for place in busiest(run):
        bins = range(int(run.until() * SECOND // step) + 1)
        axes.plot(
            [(each + 0.5) * step / SECOND for each in bins],
            [counts[place][each] * SECOND / step for each in bins],
            lw=1.1,
            label=f"{run.head.scenario.partner_of(place).name} {place}",
        )
    axes.set_ylabel("calls a second", fontsize=8)
    axes.set_ylim(0, axes.get_ylim()[1] * 1.2)
    shade(run, axes)


def backlog(run: Played, axes: Axes) -> None:
    ends = dict(run.done)
    for notice in run.history.noticed:
        ends.setdefault(notice.id, notice.at)
    changes: defaultdict[int, list[tuple[int, int]]] = defaultdict(list)
    for handed in run.history.handed:
        if handed.answer == "ok":
            changes[handed.destination].append((handed.answered, 1))
            if handed.id in ends:
                changes[handed.destination].append((max(ends[handed.id], handed.answered), -1))
    for place in busiest(run):
        held, times, levels = 0, [0.0], [0]
        for at, change in sorted(changes[place]):
            held += change
            times.append(at / SECOND)
            levels.append(held)
        axes.step(times, levels, where="post", lw=1.1, label=f"{run.head.scenario.partner_of(place).name} {place}")
    axes.set_ylabel("taken on, not ended", fontsize=8)
    axes.set_ylim(0, axes.get_ylim()[1] * 1.2)
    shade(run, axes)


def latency(run: Played, axes: Axes) -> None:
    took: defaultdict[str, list[float]] = defaultdict(list)
    for name, due, at in logical_messages(run.history, run.done):
        if at != NEVER:
            took[name].append((at - due) / 1000)
    for name, times in took.items():
        times.sort()
        axes.plot([1 / (1 - place / len(times)) for place in range(len(times))], times, lw=1.3, label=name)
    axes.set_xscale("log")
    axes.set_yscale("log")
    parts = (0, 50, 90, 99, 99.9)
    axes.set_xticks([1 / (1 - part / 100) for part in parts], [f"{part:g}%" for part in parts])
    axes.minorticks_off()
    axes.set_xlabel("part of the delivered", fontsize=8)
    axes.set_ylabel("ms from due to delivered", fontsize=8)


def memory(run: Played, axes: Axes) -> None:
    right = axes.twinx()
    samples: defaultdict[int, list[tuple[float, float, int]]] = defaultdict(list)
    for sample in run.history.sampled:
        samples[sample.sender].append((sample.at / SECOND, sample.memory / (1 << 20), sample.descriptors))
    for number, (sender, seen) in enumerate(sorted(samples.items())[:MOST_LINES]):
        colour = SHADES[number % len(SHADES)]
        axes.plot(
            [each[0] for each in seen],
            [each[1] for each in seen],
            color=colour,
            lw=1.3,
            label=f"n{sender} MB",
        )
        right.plot([each[0] for each in seen], [each[2] for each in seen], color=colour, lw=0.9, ls="--")
        axes.plot([], [], color=colour, lw=0.9, ls="--", label=f"n{sender} descriptors")
    axes.set_ylabel("MB", fontsize=8)
    axes.set_ylim(0, axes.get_ylim()[1] * 1.2)
    right.set_ylabel("descriptors", fontsize=8)
    right.set_ylim(0, right.get_ylim()[1] * 1.2)
    right.tick_params(labelsize=8)
    shade(run, axes)


PLOTS: list[tuple[str, str, Callable[[Played, Axes], None]]] = [
    (
        "Service by priority class",
        "What was earned of the worth asked for, by when a thing was due. Shaded: faults.",
        service,
    ),
    ("Outcomes of calls", "As the partners saw them.", outcomes),
    (
        "Pace by destination",
        "Calls a second at the destinations that answered least well, then the busiest.",
        pace,
    ),
    ("Backlog by destination", "Messages taken on and not ended, at the same destinations.", backlog),
    ("Latency by percentile", "From when a thing was due to its delivery, over all tries.", latency),
    ("Memory and descriptors", "Of each sender's process.", memory),
]


def class_rows(runs: list[Played]) -> list[tuple[str, list[str]]]:
    """Rows of the priority classes' table: a name, and a cell for each run."""
    names = dict.fromkeys(name for run in runs for name in run.head.figures.priority_classes)
    rows = []
    for name in names:
        cells = []
        for run in runs:
            figures = run.head.figures.priority_classes.get(name)
            at = figures.took.at if figures else {}
            cells.append(
                "-"
                if figures is None
                else f"{figures.service:.3f}  ({figures.delivered} of {figures.things}, p50 {at.get('50', 0):.0f} ms, "
                f"p99 {at.get('99', 0):.0f} ms)"
            )
        rows.append((name, cells))
    return rows


def total_rows(runs: list[Played]) -> list[tuple[str, list[str]]]:
    """Rows of the table of totals."""

    def row(name: str, cell: Callable[[Run], str]) -> tuple[str, list[str]]:
        return name, [cell(run.head) for run in runs]

    return [
        row("service", lambda run: f"{run.figures.service:.3f}"),
        row(
            "verdict",
            lambda run: "void: " + run.void
            if run.void
            else f"{len(run.findings)} findings"
            if run.findings
            else "no rule broken",
        ),
        row(
            "taken on",
            lambda run: f"{run.account.taken} = {run.account.delivered} delivered + "
            f"{run.account.returned} returned + {run.account.written_off} written off + {run.account.lost} lost",
        ),
        row(
            "not taken on",
            lambda run: f"{run.account.refused} refused, {run.account.unanswered} unanswered, "
            f"{run.account.cut} cut, {run.account.down} not connected, {run.account.failed} errors",
        ),
        row("calls for each thing", lambda run: f"{run.figures.calls_per_thing:.2f}"),
        row(
            "answer to a client, p50 / p99",
            lambda run: " / ".join(f"{run.figures.answered.at.get(part, 0):.1f} ms" for part in ("50", "99")),
        ),
        row(
            "largest sender",
            lambda run: f"{run.figures.memory_mb:.1f} MB, {run.figures.descriptors} descriptors, "
            f"{run.figures.cpu_share:.2f} of a core",
        ),
        row("fell over", lambda run: str(run.figures.fell_over)),
        row("emulator at most late", lambda run: f"{run.figures.worst_lag_ms:.0f} ms"),
        row("seed, senders, length", lambda run: f"{run.seed}, {run.senders}, {run.length / SECOND:g} s"),
        row("versions", lambda run: ", ".join(f"{name} {version}" for name, version in run.versions.items())),
    ]
