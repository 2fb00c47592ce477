"""Creates one self-contained HTML page and PNG plots that compare one or several runs."""

import base64
import os
from collections import Counter, defaultdict
from collections.abc import Callable
from typing import Any

import jinja2
import matplotlib

matplotlib.use("Agg")
import matplotlib.pyplot as plt  # noqa: E402  imported after use("Agg"): the default backend may need a display

from cedarwick.lab.audit_account import earned_share  # noqa: E402
from cedarwick.lab.figures import call_outcome, delivery_times, logical_messages  # noqa: E402
from cedarwick.lab.history import NEVER, History, read_history  # noqa: E402
from cedarwick.lab.run import RunSummary, read_run_summary  # noqa: E402
from cedarwick.lab.units import SECOND

MAX_LINES = 6  # destinations or senders in one plot
OUTCOME_COLOURS = {
    "completed": "#4c9f70",
    "told to wait": "#e0a030",
    "turned away": "#c8743c",
    "error": "#b8405a",
    "spoilt": "#8058a8",
    "no answer": "#606060",
}
LINE_COLOURS = ("#3060c0", "#c04040", "#308030", "#a07000", "#803090", "#007080")
Axes = Any  # matplotlib is not typed


class LoadedRun:
    """The contents of a run's folder."""

    def __init__(self, folder: str) -> None:
        self.folder = folder
        self.head: RunSummary = read_run_summary(folder)
        self.history: History = read_history(os.path.join(folder, "history.jsonl"))
        self.delivered_at = delivery_times(self.history)
        self.name = f"{self.head.scenario.name}-{self.head.seed}"

    def bin_width(self) -> int:
        """Return the width of a time bin in microseconds: a sixtieth of the day, at least half a second."""
        return max(SECOND // 2, self.head.length // 60)

    def time_axis_end(self) -> float:
        """Return the end of the time axis, in seconds."""
        last = max((call.whole for call in self.history.called), default=0)
        return max(self.head.length, last) / SECOND


def write_report(folders: list[str], out: str) -> str:
    """Write the plots of each run and one page of all runs to the folder `out`, and return the page's path.

    Raises ValueError or OSError for a folder that holds no readable run.
    """
    runs = [LoadedRun(folder) for folder in folders]
    os.makedirs(out, exist_ok=True)
    rows = []
    for title, description, draw in PLOTS:
        cells = []
        for number, run in enumerate(runs):
            path = os.path.join(out, f"{number + 1}-{run.name}-{title.split()[0].lower()}.png")
            save_plot(run, title, draw, path)
            with open(path, "rb") as file:
                cells.append(base64.b64encode(file.read()).decode())
        rows.append((title, description, cells))
    environment = jinja2.Environment(autoescape=True, loader=jinja2.FileSystemLoader(os.path.dirname(__file__)))
    page = environment.get_template("page.html").render(
        runs=runs, rows=rows, class_rows=class_rows(runs), totals=total_rows(runs)
    )
    path = os.path.join(out, "report.html")
    with open(path, "w", encoding="utf-8") as file:
        file.write(page)
    return path


def save_plot(run: LoadedRun, title: str, draw: Callable[[LoadedRun, Axes], None], path: str) -> None:
    """Draw one plot of a run and save it as a PNG file."""
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


def draw_faults(run: LoadedRun, axes: Axes) -> None:
    """Draw faults as shaded spans with their kinds at the top, and set up the time axis."""
    faults = sorted(run.history.gone, key=lambda gone: gone.began)
    for number, fault in enumerate(faults):
        colour = LINE_COLOURS[number % len(LINE_COLOURS)]
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
    axes.set_xlim(0, run.time_axis_end())
    axes.set_xlabel("time in seconds (dotted line: end of arrivals)", fontsize=8)


def plot_service(run: LoadedRun, axes: Axes) -> None:
    """Plot the share of the possible value that was achieved, by priority class."""
    priority_classes, bin_width = run.head.scenario.classes_by_name(), run.bin_width()
    message_counts: defaultdict[str, Counter[int]] = defaultdict(Counter)
    achieved_values: defaultdict[str, defaultdict[int, float]] = defaultdict(lambda: defaultdict(float))
    for name, due, at in logical_messages(run.history, run.delivered_at):
        priority_class = priority_classes[name]
        message_counts[name][due // bin_width] += 1
        if at != NEVER:
            achieved_values[name][due // bin_width] += earned_share(
                priority_class.expected_ms, priority_class.outer_ms, priority_class.late_share, at - due
            )
    for name in priority_classes:
        bins = sorted(message_counts[name])
        axes.plot(
            [(number + 0.5) * bin_width / SECOND for number in bins],
            [achieved_values[name][number] / message_counts[name][number] for number in bins],
            label=name,
            lw=1.3,
            marker=".",
            ms=3,
        )
    axes.set_ylim(-0.03, 1.12)
    axes.set_ylabel("achieved / possible value", fontsize=8)
    draw_faults(run, axes)


def plot_outcomes(run: LoadedRun, axes: Axes) -> None:
    """Plot calls a second as stacked bars, by outcome."""
    bin_width = run.bin_width()
    counts: defaultdict[str, Counter[int]] = defaultdict(Counter)
    for call in run.history.called:
        counts[call_outcome(call.status, call.spoilt)][call.whole // bin_width] += 1
    bins = range(int(run.time_axis_end() * SECOND // bin_width) + 1)
    bottom = [0.0] * len(bins)
    for name, colour in OUTCOME_COLOURS.items():
        if name not in counts:
            continue
        heights = [counts[name][number] * SECOND / bin_width for number in bins]
        axes.bar(
            [(number + 0.5) * bin_width / SECOND for number in bins],
            heights,
            width=bin_width / SECOND,
            bottom=bottom,
            color=colour,
            label=name,
            lw=0,
        )
        bottom = [below + height for below, height in zip(bottom, heights, strict=True)]
    axes.set_ylabel("calls a second", fontsize=8)
    axes.set_ylim(0, max(bottom, default=0) * 1.25 + 1)
    draw_faults(run, axes)


def plotted_destinations(run: LoadedRun) -> list[int]:
    """Return the destinations to plot: those that answered calls with errors first, then by submissions."""
    counts = Counter(handed.destination for handed in run.history.handed)
    with_errors = {call.destination for call in run.history.called if call.status not in (0, 200)}
    return sorted(counts, key=lambda number: (number not in with_errors, -counts[number]))[:MAX_LINES]


def plot_call_rate(run: LoadedRun, axes: Axes) -> None:
    """Plot calls a second, by destination."""
    bin_width = run.bin_width()
    counts: defaultdict[int, Counter[int]] = defaultdict(Counter)
    for call in run.history.called:
        counts[call.destination][call.whole // bin_width] += 1
    for destination_id in plotted_destinations(run):
        bins = range(int(run.time_axis_end() * SECOND // bin_width) + 1)
        axes.plot(
            [(number + 0.5) * bin_width / SECOND for number in bins],
            [counts[destination_id][number] * SECOND / bin_width for number in bins],
            lw=1.1,
            label=f"{run.head.scenario.partner_of(destination_id).name} {destination_id}",
        )
    axes.set_ylabel("calls a second", fontsize=8)
    axes.set_ylim(0, axes.get_ylim()[1] * 1.2)
    draw_faults(run, axes)


def plot_backlog(run: LoadedRun, axes: Axes) -> None:
    """Plot the number of accepted messages without a final answer, by destination."""
    final_answer_times = dict(run.delivered_at)
    for notice in run.history.noticed:
        final_answer_times.setdefault(notice.id, notice.at)
    changes: defaultdict[int, list[tuple[int, int]]] = defaultdict(list)
    for handed in run.history.handed:
        if handed.answer == "ok":
            changes[handed.destination].append((handed.answered, 1))
            if handed.id in final_answer_times:
                changes[handed.destination].append((max(final_answer_times[handed.id], handed.answered), -1))
    for destination_id in plotted_destinations(run):
        held, times, levels = 0, [0.0], [0]
        for at, change in sorted(changes[destination_id]):
            held += change
            times.append(at / SECOND)
            levels.append(held)
        axes.step(
            times,
            levels,
            where="post",
            lw=1.1,
            label=f"{run.head.scenario.partner_of(destination_id).name} {destination_id}",
        )
    axes.set_ylabel("accepted, no final answer", fontsize=8)
    axes.set_ylim(0, axes.get_ylim()[1] * 1.2)
    draw_faults(run, axes)


def plot_latency(run: LoadedRun, axes: Axes) -> None:
    """Plot the time from due to delivered by percentile, on logarithmic axes, by priority class."""
    delivery_times_ms: defaultdict[str, list[float]] = defaultdict(list)
    for name, due, at in logical_messages(run.history, run.delivered_at):
        if at != NEVER:
            delivery_times_ms[name].append((at - due) / 1000)
    for name, times in delivery_times_ms.items():
        times.sort()
        axes.plot([1 / (1 - rank / len(times)) for rank in range(len(times))], times, lw=1.3, label=name)
    axes.set_xscale("log")
    axes.set_yscale("log")
    percentiles = (0, 50, 90, 99, 99.9)
    axes.set_xticks(
        [1 / (1 - percentile / 100) for percentile in percentiles], [f"{percentile:g}%" for percentile in percentiles]
    )
    axes.minorticks_off()
    axes.set_xlabel("percentile of delivered messages", fontsize=8)
    axes.set_ylabel("ms from due time to delivery", fontsize=8)


def plot_memory(run: LoadedRun, axes: Axes) -> None:
    """Plot resident memory and open descriptors, by sender."""
    descriptor_axes = axes.twinx()
    samples: defaultdict[int, list[tuple[float, float, int]]] = defaultdict(list)
    for sample in run.history.sampled:
        samples[sample.sender].append((sample.at / SECOND, sample.memory / (1 << 20), sample.descriptors))
    for number, (sender, sender_samples) in enumerate(sorted(samples.items())[:MAX_LINES]):
        colour = LINE_COLOURS[number % len(LINE_COLOURS)]
        axes.plot(
            [point[0] for point in sender_samples],
            [point[1] for point in sender_samples],
            color=colour,
            lw=1.3,
            label=f"n{sender} MB",
        )
        descriptor_axes.plot(
            [point[0] for point in sender_samples],
            [point[2] for point in sender_samples],
            color=colour,
            lw=0.9,
            ls="--",
        )
        axes.plot([], [], color=colour, lw=0.9, ls="--", label=f"n{sender} descriptors")
    axes.set_ylabel("MB", fontsize=8)
    axes.set_ylim(0, axes.get_ylim()[1] * 1.2)
    descriptor_axes.set_ylabel("descriptors", fontsize=8)
    descriptor_axes.set_ylim(0, descriptor_axes.get_ylim()[1] * 1.2)
    descriptor_axes.tick_params(labelsize=8)
    draw_faults(run, axes)


PLOTS: list[tuple[str, str, Callable[[LoadedRun, Axes], None]]] = [
    (
        "Service by priority class",
        "Achieved value as a share of the possible value, by the due time of messages. Shaded: faults.",
        plot_service,
    ),
    ("Outcomes of calls", "Outcomes as the partners saw them.", plot_outcomes),
    (
        "Pace by destination",
        "Calls a second, at the destinations that answered calls with errors, then at the busiest ones.",
        plot_call_rate,
    ),
    ("Backlog by destination", "Accepted messages without a final answer, at the same destinations.", plot_backlog),
    (
        "Latency by percentile",
        "Time from the due time of a message to its delivery, over all its submissions.",
        plot_latency,
    ),
    ("Memory and descriptors", "Resident memory and open file descriptors of each sender's process.", plot_memory),
]


def class_rows(runs: list[LoadedRun]) -> list[tuple[str, list[str]]]:
    """Return the rows of the priority classes: a name, and a cell for each run."""
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


def total_rows(runs: list[LoadedRun]) -> list[tuple[str, list[str]]]:
    """Return the rows of totals: a name, and a cell for each run."""

    def row(name: str, cell: Callable[[RunSummary], str]) -> tuple[str, list[str]]:
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
            "accepted",
            lambda run: f"{run.account.taken} = {run.account.delivered} delivered + "
            f"{run.account.returned} returned + {run.account.written_off} written off + {run.account.lost} lost",
        ),
        row(
            "not accepted",
            lambda run: f"{run.account.refused} refused, {run.account.unanswered} unanswered, "
            f"{run.account.cut} cut, {run.account.down} not connected, {run.account.failed} errors",
        ),
        row("calls per message", lambda run: f"{run.figures.calls_per_thing:.2f}"),
        row(
            "answer to a client, p50 / p99",
            lambda run: " / ".join(
                f"{run.figures.answered.at.get(percentile, 0):.1f} ms" for percentile in ("50", "99")
            ),
        ),
        row(
            "largest sender",
            lambda run: f"{run.figures.memory_mb:.1f} MB, {run.figures.descriptors} descriptors, "
            f"{run.figures.cpu_share:.2f} of a core",
        ),
        row("endpoints overloaded while warming up", lambda run: str(run.figures.fell_over)),
        row("largest event loop lag of the emulator", lambda run: f"{run.figures.worst_lag_ms:.0f} ms"),
        row("seed, senders, length", lambda run: f"{run.seed}, {run.senders}, {run.length / SECOND:g} s"),
        row("versions", lambda run: ", ".join(f"{name} {version}" for name, version in run.versions.items())),
    ]
