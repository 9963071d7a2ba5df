"""Hedged connections of the event stream, in simulated time."""

import math

import pytest

from mulleinrelay.policy import stream_hedging
from mulleinrelay.policy.stream_hedging import MAX_CONNECTIONS, StreamProgress

STEP_S = 0.05


class SimulatedStream:
    """A client of the event stream, before a server that answers each connection by its number.

    `line_times(number)` returns the times after the opening at which lines are complete; the first
    one is the response head. `opened_at` lists the times of all openings.
    """

    def __init__(self, line_times):
        self.line_times, self.connections, self.opened_at = line_times, [], []
        self.first_line_at = math.inf
        self.most_open = 0
        self._open(0.0)

    def _open(self, now):
        lines = list(self.line_times(len(self.opened_at)))
        self.connections.append((StreamProgress.opened(now), lines))
        self.opened_at.append(now)
        self.most_open = max(self.most_open, len(self.connections))

    def _close(self, unneeded):
        self.connections = [each for each in self.connections if each[0] not in unneeded]

    def progress(self):
        return [progress for progress, _ in self.connections]

    def run(self, end):
        now = 0.0
        while now < end:
            now += STEP_S
            for progress, lines in list(self.connections):
                if lines and progress.opened_at + lines[0] <= now and progress in self.progress():
                    lines.pop(0)
                    progress.record_bytes(now, progress.line_count + 1)
                    if progress.line_count > 1:
                        self.first_line_at = min(self.first_line_at, now)
                    self._close(
                        stream_hedging.choose_replaced(self.progress(), progress, False, now)
                    )
            if now >= stream_hedging.next_opening(self.progress(), self.opened_at[-1]):
                self._close([stream_hedging.choose_dropped(self.progress(), now)])
                self._open(now)
        return self


@pytest.mark.parametrize("head_s", [0.0, 1.0, 1.6, 2.0, 3.5, 6.0, 10.0, 25.0])
@pytest.mark.parametrize("first_line_s", [0.0, 2.0, 4.0])
def test_slow_server_is_heard_as_soon_as_its_first_connection_delivers(head_s, first_line_s):
    # Guards against a limit that begins again with each connection, so that none is ever heard.
    def line_times(number):
        return [head_s, *(head_s + first_line_s + second for second in range(100))]

    stream = SimulatedStream(line_times).run(40.0)
    assert stream.first_line_at <= head_s + first_line_s + 2 * STEP_S
    assert len(stream.connections) == 1
    assert stream.most_open <= MAX_CONNECTIONS


@pytest.mark.parametrize("silent_count", [1, 2, 3])
def test_silent_connections_delay_a_drain_by_less_than_seven_seconds(silent_count):
    # The first connection has a response head and falls silent.
    def line_times(number):
        if number < silent_count:
            return [0.0] if number == 0 else []
        return [0.0, 0.1, 1.1, 2.1, 3.1]

    assert SimulatedStream(line_times).run(8.0).first_line_at < 7.0


def test_silent_server_is_asked_at_a_limited_rate():
    # Guards against more connections to a slow server than before: one in 2.5 s at most.
    stream = SimulatedStream(lambda number: []).run(62.0)
    assert len(stream.opened_at) <= 4 + 62.0 / stream_hedging.REPLACEMENT_INTERVAL_S
    assert stream.most_open == MAX_CONNECTIONS


def test_healthy_stream_has_one_connection():
    stream = SimulatedStream(lambda number: [0.01, *range(1, 200)]).run(100.0)
    assert stream.opened_at == [0.0]


def connections(*ages_and_lines, now=100.0):
    """Return connections with an age, a time since the last byte, and a number of lines."""
    return [
        StreamProgress(now - age, now - silence, now - silence, lines)
        for age, silence, lines in ages_and_lines
    ]


@pytest.mark.parametrize(
    ("others", "has_delivered_event", "replaced_indexes"),
    [
        ([(9.0, 3.0, 5)], False, [0]),  # an older one that is silent
        ([(9.0, 0.1, 1)], False, []),  # an older one that may be within a long line
        ([(9.0, 0.1, 1)], True, [0]),
        ([(0.5, 0.5, 0)], False, [1]),  # a newer one
        ([(9.0, 0.1, 1), (0.5, 0.1, 1)], False, [2]),
    ],
)
def test_delivering_connection_replaces_those_that_are_not_needed(
    others, has_delivered_event, replaced_indexes
):
    listed = sorted(
        connections(*others, (2.0, 0.0, 2)), key=lambda connection: connection.opened_at
    )
    delivering = next(each for each in listed if each.line_count == 2)
    replaced = stream_hedging.choose_replaced(listed, delivering, has_delivered_event, 100.0)
    assert [listed.index(each) for each in replaced] == replaced_indexes


def test_response_head_alone_replaces_nothing():
    listed = connections((9.0, 3.0, 5), (2.0, 0.0, 1))
    assert stream_hedging.choose_replaced(listed, listed[1], False, 100.0) == []


@pytest.mark.parametrize(
    ("listed", "dropped_index"),
    [
        ([(9.0, 9.0, 0)] * 3, None),  # there is room
        ([(9.0, 9.0, 0), (8.0, 8.0, 0), (7.0, 7.0, 0), (6.0, 6.0, 0)], 1),
        ([(31.0, 31.0, 0), (8.0, 8.0, 0), (7.0, 7.0, 0), (6.0, 6.0, 0)], 0),
        ([(9.0, 9.0, 0), (8.0, 8.0, 0), (7.0, 3.0, 2), (6.0, 6.0, 0)], 2),
    ],
)
def test_connection_to_drop_is_chosen(listed, dropped_index):
    listed = connections(*listed)
    dropped = stream_hedging.choose_dropped(listed, 100.0)
    assert dropped is (None if dropped_index is None else listed[dropped_index])
