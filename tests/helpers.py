"""A writer that records and a director with a small fleet, for the tables of cases."""

from mulleinrelay.interface import PURE, ColdRule, Lookup, Note, Outcome, State, Terms, UseCase
from mulleinrelay.policy import Director, Member

CACHE, PARENT, ORIGIN = 0, 2, 3


class Recorder:
    """Keeps every action as (name, arguments)."""

    def __init__(self):
        self.actions = []

    def __getattr__(self, name):
        return lambda *arguments: self.actions.append((name, arguments))

    def take(self, name):
        found = [arguments for action, arguments in self.actions if action == name]
        self.actions = [entry for entry in self.actions if entry[0] != name]
        return found


class Fleet:
    """A director before three caches, two parents and an origin; the clock moves with each call."""

    def __init__(self, repeat=PURE, group="all", never_kept=False, started=None, hub_started=0.0, **changes):
        case = UseCase(repeat, 500.0, 2.0, 6000.0, 5000.0, group, 0.0, never_kept)
        terms = dict(
            use_cases=[case],
            zone=1,
            directors=3,
            directors_here=1,
            parent_kind=PARENT,
            origin_kind=ORIGIN,
            sized=True,
            flow=10.0,
            legs_most=6,
            two_legs=True,
            may_cancel=True,
            may_probe=False,
            may_advise=True,
            advice_most=1000.0,
            may_pass_by=True,
            joins=True,
            siblings=True,
            must_subscribe=False,
            reports=["crowding"],
            asks_reports=False,
            cold_cache=ColdRule(0.2, 17000.0, 1500.0),
            cold_parent=ColdRule(0.063, 20000.0, 1500.0),
            purge_span=6000.0,
        )
        self.terms = Terms(**(terms | changes))
        self.case, self.now, self.out = case, 100000.0, Recorder()
        self.director = Director(self.now, 7, self.terms)
        self.caches = [Member(key) for key in (11, 12, 13)]
        self.parents = [Member(key) for key in (21, 22)]
        self.origin = Member(31)
        self.count = 0
        rows = [
            self.row(cache, CACHE, 1, started if cache is self.caches[0] else None) for cache in self.caches
        ]
        rows += [self.row(parent, PARENT, 0, hub_started) for parent in self.parents]
        self.call("listed", rows + [self.row(self.origin, ORIGIN, 0, None)], True, False)

    def row(self, member, kind, zone, started=None, state=State.READY):
        return (member, state, 6.0, kind, zone, 0, started or 0.0)

    def call(self, method, *arguments, after=0.0):
        self.now += after
        self.director.round(self.now, [(method, arguments)], self.out)

    def look_up(self, key=None, size=1000.0, left=6000.0, after=1.0):
        self.now += after
        self.count += 1
        lookup = Lookup(
            self.count, self.case, key or 1000 + self.count, 0, 1, size, self.now, self.now + left
        )
        self.call("looked_up", lookup)
        return lookup

    def answer(self, leg, outcome=Outcome.SATISFIED, note=Note.HIT, first_byte=0.0, after=0.0, load=None):
        closed = outcome == Outcome.SATISFIED
        self.call("answered", leg, outcome, 100.0, closed, note, first_byte, load, after=after)
