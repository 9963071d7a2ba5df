"""Status of the cells at one director, as plain data for operators.

The keys appear in the records on disk, in the output of `mulleinrelay cells show --json` and in
gNMI, so they must not change. Some differ from the names in the code.
"""

from typing import TYPE_CHECKING, Any

from . import migrations

if TYPE_CHECKING:
    from .admission_controller import AdmissionController

MAX_REPORTED_TENANTS = 50  # only the tenants with the most rejected requests are reported


def status_report(controller: "AdmissionController", now: float) -> dict[str, Any]:
    """Return the status of the controller.

    It has the version in force, the open requests, the rejected requests of unknown tenants, and
    the states of cells, migrations, rollouts and the tenants with the most rejected requests.
    """
    return {
        "version": controller.assignment.version,
        "at": round(now),
        "open": controller.cell_quotas.cell_shares.open,
        "unknown_denied": controller.unknown_tenant.rejected_count,
        "cells": {
            name: _cell(controller, name, now) for name in controller.cell_quotas.cell_states
        },
        "moves": _migrations(controller, now),
        "releases": _rollouts(controller),
        "tenants": _tenants(controller),
    }


def _cell(controller: "AdmissionController", name: str, now: float) -> dict[str, Any]:
    state = controller.cell_quotas.cell_states[name]
    availability = controller.placement.availability[name]
    return {
        "caches": controller.placement.caches_by_cell[name],
        "lost": availability.is_lost,
        "home_share": round(availability.home_fraction(now), 3),
        "warmth": round(availability.capacity_fraction(), 3),
        "open": state.shares.open,
        "width": round(state.concurrency_limit.current, 1),
        "served": state.served_count,
        "settled": state.completed_count,
        "denied": state.rejected_count,
    }


def _migrations(controller: "AdmissionController", now: float) -> dict[str, dict[str, Any]]:
    return {
        name: {
            "stage": migrations.stage_at(migration, now).value,
            "from": migration.source,
            "to": migration.target,
            "share": round(migrations.migrated_fraction(migration, now), 4),
        }
        for name, migration in controller.assignment.migrations.items()
    }


def _rollouts(controller: "AdmissionController") -> dict[str, dict[str, Any]]:
    return {
        name: {
            "phase": state.phase().value,
            "wave": state.wave,
            "why": state.rollback_reason,
            "cells": sorted(state.reached_at),
        }
        for name, state in controller.rollout_states.items()
    }


def _tenants(controller: "AdmissionController") -> dict[str, dict[str, Any]]:
    most_rejected = sorted(
        controller.tenant_states.items(), key=lambda item: (-item[1].rejected_count, item[0])
    )
    return {
        name: {
            "home": controller.placement.homes.get(name, ""),
            "granted": state.admitted_count,
            "denied": state.rejected_count,
        }
        for name, state in most_rejected[:MAX_REPORTED_TENANTS]
    }
