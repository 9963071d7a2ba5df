"""Heatmap of a play: the load of each cache over time, to make herds and idle caches visible."""

from typing import Any

from .audit import Audit
from .evenness import slot_loads

SLOT_S = 0.1
# Number of slots over which loads are averaged: half a second, as a cache gets only few attempts in
# one slot
SMOOTHED_SLOTS = 5
MAX_RATIO = 8.0  # of load to fair share; ratios above it and below its inverse are clipped
MIN_FAIR_LOAD = 1e-9  # avoids division by 0
COLOUR_TICKS = ["1/4", "1/2", "fair", "2", "4"]
DOTS_PER_INCH = 110


def draw(audit: Audit, path: str) -> None:
    """Write the heatmap as a PNG file with a column per 100 ms.

    Each cache that was sent any attempt has a row. White marks the fair share, red a higher load
    and blue a lower one.
    """
    import matplotlib

    matplotlib.use("Agg")
    import numpy
    from matplotlib import pyplot

    end_s = audit.observations.seconds
    names, locations, ratios = _load_ratios(audit, end_s)
    figure, axes = pyplot.subplots(figsize=(14, 3.0 + 0.16 * len(names)), layout="constrained")
    image = axes.imshow(
        numpy.log2(numpy.clip(ratios, 1.0 / MAX_RATIO, MAX_RATIO)),
        aspect="auto",
        cmap="RdBu_r",
        vmin=-2,
        vmax=2,
        extent=(0.0, end_s, len(names), 0),
        interpolation="nearest",
    )
    labels = [f"{name} {location}" for name, location in zip(names, locations, strict=True)]
    axes.set_yticks([row + 0.5 for row in range(len(names))], labels, fontsize=6)
    for row in range(1, len(locations)):
        if locations[row] != locations[row - 1]:
            axes.axhline(row, color="black", linewidth=0.8)
    _mark_faults(audit, axes)
    axes.set_xlabel("seconds")
    bar = figure.colorbar(image, ax=axes, ticks=[-2, -1, 0, 1, 2])
    bar.ax.set_yticklabels(COLOUR_TICKS)
    figure.savefig(path, dpi=DOTS_PER_INCH)
    pyplot.close(figure)


def _load_ratios(audit: Audit, end_s: float) -> tuple[list[str], list[str], Any]:
    """Return the caches' names and locations, ordered by location, and a row of ratios for each.

    A ratio is the smoothed load in a slot over the fair share. The fair shares divide the load of a
    location among all its caches that have a row, whether they are healthy or not.
    """
    import numpy

    attempts = [
        (attempt.at_s, attempt.node)
        for attempt in audit.observations.attempts
        if attempt.node in audit.caches
    ]
    names, counts = slot_loads(attempts, SLOT_S, end_s)
    order = sorted(
        range(len(names)), key=lambda row: (audit.caches[names[row]].location, names[row])
    )
    ordered_names = [names[row] for row in order]
    locations = [audit.caches[name].location for name in ordered_names]
    load = numpy.array([counts[row] for row in order], dtype=float).reshape(len(order), -1)
    capacity = numpy.array([audit.caches[name].capacity for name in ordered_names])
    kernel = numpy.ones(SMOOTHED_SLOTS) / SMOOTHED_SLOTS
    smooth = numpy.array([numpy.convolve(row, kernel, mode="same") for row in load])
    ratios = numpy.ones_like(smooth)
    for location in sorted(set(locations)):
        rows = [row for row, other in enumerate(locations) if other == location]
        fair = smooth[rows].sum(axis=0) / capacity[rows].sum()
        ratios[rows] = smooth[rows] / numpy.maximum(MIN_FAIR_LOAD, fair * capacity[rows, None])
    return ordered_names, locations, ratios


def _mark_faults(audit: Audit, axes: Any) -> None:
    """Draw a solid line at the first start of each fault, and a dotted line at its first end."""
    marked = set()
    for fault in audit.faults:
        if (fault.name, fault.is_start) in marked:
            continue
        marked.add((fault.name, fault.is_start))
        text = f" {fault.name}: {fault.kind}" if fault.is_start else f" {fault.name} over"
        style = "-" if fault.is_start else ":"
        axes.axvline(fault.at_s, color="black", linestyle=style, linewidth=1.0)
        axes.text(fault.at_s, 0, text, rotation=90, fontsize=7, va="bottom")
