"""What staff may change of an assignment, as pure functions from one charter to the next. A change
that would break a rule is a RefusalError that says why; `saying` what is done is the caller's.

What is to happen at all directors alike is set `spread` ahead, when each of them has read the file.
"""

from dataclasses import dataclass, replace

from . import migrations
from .hashing import hash_name, home_cells, rendezvous_order
from .model import Assignment, Limits, Migration, Rollout, Tenant
from .parser import LIMIT_FIELDS_BY_KEY


class EditRejectedError(Exception):
    """The change can be understood and is not made; the text says why."""


@dataclass(slots=True, frozen=True)
class StageDurations:
    """Of a move, ms."""

    warm_up: float
    shift: float
    drain: float


def start_migration(
    charter: Assignment,
    name: str,
    tenants: tuple[str, ...],
    target: str,
    now: float,
    spans: StageDurations,
    starts_in: float = 0.0,
) -> Assignment:
    if name in charter.migrations:
        raise EditRejectedError(f"there is a move {name} already")
    if target not in charter.cells:
        raise EditRejectedError(f"there is no cell {target}")
    at = home_cells(charter)
    sources = {}
    for tenant in tenants:
        if tenant not in charter.tenants:
            raise EditRejectedError(f"there is no tenant {tenant}")
        if (busy := migration_of(charter, tenant)) is not None:
            raise EditRejectedError(
                f"tenant {tenant} is moved by {busy.name}; abort or end that first"
            )
        sources[at[tenant]] = tenant
    if len(sources) != 1:
        raise EditRejectedError(
            "the tenants of one move must stand in one cell, not in " + ", ".join(sorted(sources))
        )
    source = next(iter(sources))
    if source == target:
        raise EditRejectedError(f"they stand in {target} already")
    starts = now + max(starts_in, charter.propagation_time + charter.clock_skew)
    move = Migration(name, tenants, source, target, starts, spans.warm_up, spans.shift, spans.drain)
    # no hash moves them
    people = {tenant: replace(charter.tenants[tenant], cell=source) for tenant in tenants}
    return replace(
        charter, migrations=charter.migrations | {name: move}, tenants=charter.tenants | people
    )


def durations_for_demand(
    demand: migrations.MigrationDemand, warm: float, drain: float
) -> StageDurations:
    """The spans of a move that the receiving caches can bear; raises RefusalError where
    they can't.
    """
    found = migrations.min_shift_duration(demand)
    if found is None:
        raise EditRejectedError(
            f"the receiving caches can't bear these tenants even when warm: {demand.load + demand.rate:.0f} "
            f"of {migrations.TARGET_UTILIZATION * demand.capacity:.0f} hits a second, and the misses beside"
        )
    return StageDurations(warm, float(round(found)), drain)


def rejection_reason(old: Assignment, new: Assignment) -> str:
    """Why a file that can be read is not taken all the same; empty: it is."""
    if new.version < old.version or (new.version == old.version and new != old):
        return (
            f"assignment kept at version {old.version}: the file holds version {new.version}, "
            "which is no later one"
        )
    return ""


def migration_of(charter: Assignment, tenant: str) -> Migration | None:
    return next((move for move in charter.migrations.values() if tenant in move.tenants), None)


def _move(charter: Assignment, name: str) -> Migration:
    if name not in charter.migrations:
        raise EditRejectedError(
            f"there is no move {name}; there are {', '.join(charter.migrations) or 'none'}"
        )
    return charter.migrations[name]


def _soon(charter: Assignment, move: Migration, now: float) -> float:
    return max(move.starts_at, now + charter.propagation_time + charter.clock_skew)


def pause_migration(charter: Assignment, name: str, now: float) -> Assignment:
    """The share stays where it is until it is resumed."""
    move = _move(charter, name)
    at = _soon(charter, move, now)
    if move.aborted_at:
        raise EditRejectedError(f"move {name} is aborted")
    if move.paused_at and not move.resumed_at:
        raise EditRejectedError(f"move {name} is held already")
    if move.paused_at and now < move.resumed_at:
        raise EditRejectedError(
            f"move {name} is just being resumed; wait {move.resumed_at - now:.0f} ms"
        )
    if move.paused_at:  # the pause that is over becomes part of the start
        move = replace(
            move, starts_at=move.starts_at + move.resumed_at - move.paused_at, resumed_at=0.0
        )
    if migrations.stage_at(replace(move, paused_at=0.0), at) == migrations.MigrationStage.DONE:
        raise EditRejectedError(f"move {name} is done by then")
    return replace(charter, migrations=charter.migrations | {name: replace(move, paused_at=at)})


def resume_migration(charter: Assignment, name: str, now: float) -> Assignment:
    move = _move(charter, name)
    if not move.paused_at or move.resumed_at or move.aborted_at:
        raise EditRejectedError(f"move {name} is not held")
    at = max(move.paused_at, _soon(charter, move, now))
    return replace(charter, migrations=charter.migrations | {name: replace(move, resumed_at=at)})


def abort_migration(charter: Assignment, name: str, now: float) -> Assignment:
    """All goes back, as fast as it came. A move that has not begun anywhere is left out at once."""
    move = _move(charter, name)
    if move.aborted_at:
        raise EditRejectedError(f"move {name} is aborted already")
    if now + charter.propagation_time + charter.clock_skew < move.starts_at:
        return replace(
            charter,
            migrations={other: held for other, held in charter.migrations.items() if other != name},
        )
    at = _soon(charter, move, now)
    if migrations.stage_at(move, at) == migrations.MigrationStage.DONE:
        raise EditRejectedError(
            f"move {name} is done by then; move the tenants back to {move.source}"
        )
    return replace(charter, migrations=charter.migrations | {name: replace(move, aborted_at=at)})


def end_migrations(charter: Assignment, now: float) -> tuple[Assignment, list[str]]:
    """Leaves out moves that are over, once no client's retry can ask for what was: their tenants
    then stand in the table where they ended. Gives the names of those.
    """
    ended, people, left = [], dict(charter.tenants), {}
    for name, move in charter.migrations.items():
        over = migrations.ended_at(move)
        if (
            over is None
            or now < over + charter.retry_horizon + charter.propagation_time + charter.clock_skew
        ):
            left[name] = move
            continue
        ended.append(name)
        cell = move.source if move.aborted_at else move.target
        people |= {tenant: replace(people[tenant], cell=cell) for tenant in move.tenants}
    return replace(charter, migrations=left, tenants=people), ended


def put_tenant(charter: Assignment, tenant: Tenant) -> Assignment:
    """Adds a tenant, or changes all of it but its cell, which only a move changes."""
    if (old := charter.tenants.get(tenant.name)) is not None and old.cell != tenant.cell:
        raise EditRejectedError(
            f"tenant {tenant.name} stands in {old.cell or 'a cell by hash'}; move it"
        )
    return replace(charter, tenants=charter.tenants | {tenant.name: tenant})


def start_rollout(charter: Assignment, release: Rollout) -> Assignment:
    if release.name in charter.rollouts:
        raise EditRejectedError(f"there is a release {release.name} already")
    return replace(charter, rollouts=charter.rollouts | {release.name: release})


def roll_back(charter: Assignment, name: str) -> Assignment:
    if name not in charter.rollouts:
        raise EditRejectedError(
            f"there is no release {name}; there are {', '.join(charter.rollouts) or 'none'}"
        )
    return replace(
        charter,
        rollouts=charter.rollouts | {name: replace(charter.rollouts[name], is_rolled_back=True)},
    )


def adopt_rollout(charter: Assignment, name: str) -> Assignment:
    """A release that has proven itself becomes the limits of all tenants of its cells, and is left
    out.
    """
    if name not in charter.rollouts or charter.rollouts[name].is_rolled_back:
        raise EditRejectedError(f"there is no release {name} in force")
    release, at = charter.rollouts[name], home_cells(charter)
    cells = {release.canary, *(cell for wave in release.waves for cell in wave)}
    people = {
        key: replace(tenant, limits=release.limits) if at.get(key) in cells else tenant
        for key, tenant in charter.tenants.items()
    }
    left = {other: held for other, held in charter.rollouts.items() if other != name}
    rooms = charter.cells
    if release.shuffle_shards >= 0:
        rooms = {
            key: replace(cell, shuffle_shards=release.shuffle_shards) if key in cells else cell
            for key, cell in rooms.items()
        }
    return replace(charter, rollouts=left, tenants=people, cells=rooms)


def explain_tenant(charter: Assignment, tenant: str, now: float) -> dict[str, object]:
    """Why a tenant stands where it does."""
    if tenant not in charter.tenants:
        raise EditRejectedError(
            f"there is no tenant {tenant}; its requests are "
            + (
                f"{charter.default_tenant}'s"
                if charter.unknown_tenant_policy != "reject"
                else "rejected"
            )
        )
    held, home, move = (
        charter.tenants[tenant],
        home_cells(charter).get(tenant, ""),
        migration_of(charter, tenant),
    )
    marks = [
        (cell.name, hash_name(cell.name), cell.weight)
        for cell in charter.cells.values()
        if cell.weight
    ]
    found: dict[str, object] = {
        "tenant": tenant,
        "cell": home,
        "why": "its own entry" if held.cell else "by hash, within the load bound",
        "order_by_hash": rendezvous_order(hash_name(tenant), marks),
        "addresses": list(held.addresses),
        "groups": [f"{first}-{last}" for first, last in held.groups],
        "limits": limits_by_key(held.limits),
    }
    if move is not None:
        found["move"] = {
            "name": move.name,
            "to": move.target,
            "stage": migrations.stage_at(move, now).value,
            "share_over": round(migrations.migrated_fraction(move, now), 4),
            "ended_at": migrations.ended_at(move),
        }
    if home:
        found["neighbours"] = list(charter.cells[home].failover_cells)
    return found


def explain_object(charter: Assignment, tenant: str, key: int, now: float) -> dict[str, object]:
    """In which cell a tenant's object stands now."""
    found = explain_tenant(charter, tenant, now)
    move = migration_of(charter, tenant)
    if move is not None and migrations.is_migrated(
        move, key, migrations.migrated_fraction(move, now)
    ):
        found["cell"], found["why"] = move.target, f"gone over with move {move.name}"
    return {"object": f"{key:016x}"} | found


def limits_by_key(limits: Limits) -> dict[str, float]:
    """The limits that are set, by their keys in the assignment file."""
    return {
        key: value
        for key, field in LIMIT_FIELDS_BY_KEY.items()
        if (value := getattr(limits, field))
    }
