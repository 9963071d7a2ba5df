"""Explanations for operators why a tenant or an object belongs to its cell.

No I/O and no clock: the time is an argument.

`mulleinrelay cells explain --json` prints the returned dicts, so their keys must not change.
Failover is not considered, because only the directors know which cells are lost.
"""

from . import migrations
from .edits import EditRejectedError, migration_of
from .hashing import hash_name, home_cells, rendezvous_order
from .model import REJECT, Assignment, Limits, Migration
from .parser import LIMIT_FIELDS_BY_KEY


def explain_tenant(assignment: Assignment, tenant: str, now: float) -> dict[str, object]:
    """Return a tenant's home cell and the data that decides on it.

    The result also has the tenant's limits and migration, and the home cell's failover cells.

    Raises:
        EditRejectedError: If there is no such tenant.
    """
    if tenant not in assignment.tenants:
        is_rejected = assignment.unknown_tenant_policy == REJECT
        treatment = (
            "rejected" if is_rejected else f"handled as those of {assignment.default_tenant}"
        )
        raise EditRejectedError(f"tenant {tenant} does not exist; its requests are {treatment}")
    entry = assignment.tenants[tenant]
    home = home_cells(assignment).get(tenant, "")
    candidates = [
        (cell.name, hash_name(cell.name), cell.weight)
        for cell in assignment.cells.values()
        if cell.weight
    ]
    explanation: dict[str, object] = {
        "tenant": tenant,
        "cell": home,
        "why": "its own entry" if entry.cell else "by hash, within the load bound",
        "order_by_hash": rendezvous_order(hash_name(tenant), candidates),
        "addresses": list(entry.addresses),
        "groups": [f"{first}-{last}" for first, last in entry.groups],
        "limits": limits_by_key(entry.limits),
    }
    migration = migration_of(assignment, tenant)
    if migration is not None:
        explanation["move"] = _explain_migration(migration, now)
    if home:
        explanation["neighbours"] = list(assignment.cells[home].failover_cells)
    return explanation


def _explain_migration(migration: Migration, now: float) -> dict[str, object]:
    return {
        "name": migration.name,
        "to": migration.target,
        "stage": migrations.stage_at(migration, now).value,
        "share_over": round(migrations.migrated_fraction(migration, now), 4),
        "ended_at": migrations.ends_at(migration),
    }


def explain_object(assignment: Assignment, tenant: str, key: int, now: float) -> dict[str, object]:
    """Return the current cell of a tenant's object, and the data that decides on it.

    Before an object migrates, its cell is the tenant's home cell.

    Raises:
        EditRejectedError: If there is no such tenant.
    """
    explanation = explain_tenant(assignment, tenant, now)
    migration = migration_of(assignment, tenant)
    if migration is not None:
        fraction = migrations.migrated_fraction(migration, now)
        if migrations.is_migrated(migration, key, fraction):
            explanation["cell"] = migration.target
            explanation["why"] = f"gone over with move {migration.name}"
    return {"object": f"{key:016x}"} | explanation


def limits_by_key(limits: Limits) -> dict[str, float]:
    """Return the limits other than 0, by their keys in the assignment file."""
    return {
        key: value
        for key, field in LIMIT_FIELDS_BY_KEY.items()
        if (value := getattr(limits, field))
    }
