"""A picture of a play: load by cache over time, on which a herd or an idle cache is seen at a
glance.
"""

from .audit import Audit
from .evenness import slot_loads

SLOT = 0.1  # s


def draw(audit: Audit, path: str) -> None:
    """Writes a PNG: a row a cache, a column 100 ms; white is the fair share, red over it, blue
    under.
    """
    import matplotlib

    matplotlib.use("Agg")
    import numpy
    from matplotlib import pyplot

    until = audit.observations.seconds
    attempts = [
        (attempt[0], attempt[2])
        for attempt in audit.observations.attempts
        if attempt[2] in audit.caches
    ]
    names, counts = slot_loads(attempts, SLOT, until)
    order = sorted(range(len(names)), key=lambda at: (audit.caches[names[at]].location, names[at]))
    load = numpy.array([counts[at] for at in order], dtype=float).reshape(len(order), -1)
    capacity = numpy.array([audit.caches[names[at]].capacity for at in order])
    places = [audit.caches[names[at]].location for at in order]
    kernel = numpy.ones(5) / 5.0  # half a second, as 100 ms of one cache hold few attempts
    smooth = numpy.array([numpy.convolve(row, kernel, mode="same") for row in load])
    ratio = numpy.ones_like(smooth)
    for place in sorted(set(places)):
        rows = [at for at, held in enumerate(places) if held == place]
        fair = smooth[rows].sum(axis=0) / capacity[rows].sum()
        ratio[rows] = smooth[rows] / numpy.maximum(1e-9, fair * capacity[rows, None])
    figure, axes = pyplot.subplots(figsize=(14, 3.0 + 0.16 * len(names)), layout="constrained")
    shown = axes.imshow(
        numpy.log2(numpy.clip(ratio, 0.125, 8.0)),
        aspect="auto",
        cmap="RdBu_r",
        vmin=-2,
        vmax=2,
        extent=(0.0, until, len(names), 0),
        interpolation="nearest",
    )
    axes.set_yticks(
        [at + 0.5 for at in range(len(names))],
        [f"{names[at]} {places[row]}" for row, at in enumerate(order)],
        fontsize=6,
    )
    for at in range(1, len(places)):
        if places[at] != places[at - 1]:
            axes.axhline(at, color="black", linewidth=0.8)
    marked = set()
    for at, name, what, begins, *_ in audit.faults:
        spot = (name, begins)
        if spot in marked:
            continue
        marked.add(spot)
        axes.axvline(at, color="black", linestyle="-" if begins else ":", linewidth=1.0)
        axes.text(
            at,
            0,
            f" {name}: {what}" if begins else f" {name} over",
            rotation=90,
            fontsize=7,
            va="bottom",
        )
    axes.set_xlabel("seconds")
    bar = figure.colorbar(shown, ax=axes, ticks=[-2, -1, 0, 1, 2])
    bar.ax.set_yticklabels(["1/4", "1/2", "fair", "2", "4"])
    figure.savefig(path, dpi=110)
    pyplot.close(figure)
