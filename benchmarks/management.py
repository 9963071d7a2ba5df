"""Benchmark of management: drains, rejected and interrupted commits, latency and memory.

`python -m benchmarks.management --json` prints one JSON object as the last line. Directors are real
processes on the loopback interface; nodes and clients are stand-ins.
"""

import json
import os
import random
import signal
import statistics
import tempfile
import threading
import time

import click

from mulleinrelay.cells import store
from mulleinrelay.lab.runner import Lab
from mulleinrelay.lab.scenario import parse_scenario
from mulleinrelay.management.gnmi_client import ConnectionOptions, GnmiCallError, GnmiTarget
from mulleinrelay.management.paths import parse_path
from mulleinrelay.standins.clock import now_ms

SCENARIO = """
[lab]
seconds = {seconds}
directors = {directors}
seed = 4
management = yes
[fleet]
caches = s-1 s-2 s-3 s-4 s-5 s-6
capacity = 600
parent_holds = 50
[assignment]
default_tenant = acme
[cell north]
[tenant acme]
cell = north
[load acme]
rate = 150
objects = 400
connections = 6
"""
DRAIN_PATH = "/fleet/drains/drain"
# Paths and values that a director must reject
INVALID_UPDATES = [
    ("/fleet/none", 1),
    ("/fleet/boxes", {}),
    (f"{DRAIN_PATH}[box=s 1]", {}),
    (f"{DRAIN_PATH}[box=s-1]/scope", "never"),
    (f"{DRAIN_PATH}[box=s-1]/forced", "maybe"),
    ("/fleet/drains", 3),
    ("/fleet", {"x": 1}),
    ("/fleet/datastore/version", "3"),
    ("/fleet/assignment/how", "luck"),
    ("/fleet/assignment/load-bound", "0.1"),
    ("/fleet/assignment/default-tenant", "no"),
    ("/fleet/assignment/cell[name=north]/weight", "heavy"),
    ("/fleet/assignment/cell[name=north]/neighbour", ["north"]),
    ("/fleet/assignment/cell[name=north]/reserve", "2.0"),
    ("/fleet/assignment/tenant[name=acme]/cell", "west"),
    ("/fleet/assignment/tenant[name=acme]/address", ["10.0.0.1/8"]),
    ("/fleet/assignment/tenant[name=acme]/group", ["9-2"]),
    (
        "/fleet/assignment/move[name=m]",
        {"tenant": ["acme"], "from": "north", "to": "north", "starts": "1", "shift-for": 1},
    ),
    ("/fleet/assignment/release[name=r]", {"canary": "west", "starts": "1"}),
    ("/fleet/assignment/tenant[name=x y]", {}),
]


def gnmi_targets(lab: Lab) -> list[GnmiTarget]:
    """Return a connection to the management interface of each director."""
    return [GnmiTarget(director.gnmi_address, ConnectionOptions()) for director in lab.directors]


def measure_drains(count: int = 50, directors: int = 3) -> dict:
    """Drain random caches; return how long directors still use them, and the requests lost.

    The time starts before the Set calls that drain the cache at all directors. It ends when a node
    receives the last attempt whose destination or fill source is the drained cache, in the 0.3 s
    after the Set calls.

    Args:
        count: Number of drains.
        directors: Number of directors.
    """
    lab, durations_ms, lost = (
        Lab(parse_scenario(SCENARIO.format(seconds=max(8, count // 2 + 3), directors=directors))),
        [],
        [],
    )

    def start_drains(running_lab: Lab) -> None:
        def drain_caches() -> None:
            draw, targets = random.Random(3), gnmi_targets(running_lab)
            time.sleep(1.0)
            for _ in range(count):
                box = draw.choice(
                    [name for name in running_lab.fleet.nodes if name.startswith("s-")]
                )
                path = parse_path(f"{DRAIN_PATH}[box={box}]")
                sent_at = now_ms()
                for target in targets:
                    target.set(updates=[(path, {})])
                time.sleep(0.3)
                durations_ms.append(
                    max(0.0, running_lab.fleet.nodes[box].last_referenced_at - sent_at)
                )
                for target in targets:
                    target.set(deletes=[path])
                time.sleep(0.05)

        running_lab.thread = threading.Thread(target=drain_caches)
        running_lab.thread.start()

    figures = lab.run(on_load_started=start_drains)
    lab.thread.join(5.0)
    lost.append(figures["total"]["no_answer"] + figures["total"]["cut_off"])
    return {
        "drain_ms_max": round(max(durations_ms), 1),
        "drain_ms_median": round(statistics.median(durations_ms), 1),
        "drains": len(durations_ms),
        "drain_requests_lost": lost[0],
    }


def measure_rejections(count: int = 200) -> dict:
    """Send invalid Set calls, and return how many were rejected and what they changed.

    Each call also contains a valid update, which must not be applied either. Afterwards, the rate
    of valid Set calls is measured.

    Args:
        count: Number of invalid calls.

    Returns:
        `refused`: Number of rejected calls.
        `refused_traces`: How many of five things the calls changed: the configuration, the state of
            the datastore, its file, the assignment file and the number of log lines.
        `set_per_s`: Valid Set calls per second.
    """
    lab, result = (
        Lab(
            parse_scenario(
                SCENARIO.format(seconds=6, directors=1).replace("rate = 150", "rate = 5")
            )
        ),
        {},
    )

    def send_changes(running_lab: Lab) -> None:
        target = gnmi_targets(running_lab)[0]
        target.set(updates=[(parse_path(f"{DRAIN_PATH}[box=s-6]"), {"reason": "before"})])

        def snapshot() -> list:
            config = target.get(parse_path("/"), 1)
            state = target.get(parse_path("/fleet/datastore"))
            with open(os.path.join(running_lab.folder, "state-n0", "datastore"), "rb") as file:
                data = file.read()
            with open(os.path.join(running_lab.folder, "n0.log"), "rb") as file:
                log_lines = sum(b'"management"' in line for line in file)
            return [
                config,
                state,
                data,
                store.load_assignment(running_lab.assignment_path),
                log_lines,
            ]

        time.sleep(0.6)  # afterwards, the log line of the drain above has been written
        before, rejected = snapshot(), 0
        for number in range(count):
            path, value = INVALID_UPDATES[number % len(INVALID_UPDATES)]
            try:
                target.set(
                    updates=[(parse_path(f"{DRAIN_PATH}[box=s-5]"), {}), (parse_path(path), value)]
                )
            except GnmiCallError:
                rejected += 1
        result.update(
            refused=rejected,
            refused_traces=sum(a != b for a, b in zip(before, snapshot(), strict=True)),
        )
        began = time.perf_counter()
        for number in range(100):
            target.set(updates=[(parse_path(f"{DRAIN_PATH}[box=s-5]/reason"), str(number))])
        result["set_per_s"] = round(100 / (time.perf_counter() - began), 1)

    lab.run(on_load_started=send_changes)
    return result


def measure_kills(count: int) -> dict:
    """Kill a director during commits, and return how often a commit was applied only in part.

    Each commit has a number. It sets the reason of a drain to this number, and the weight of a
    tenant to the number plus one. The director is killed at a random time. After its restart, the
    numbers in its configuration and in the assignment file are compared.

    Args:
        count: Number of kills.

    Returns:
        `half_applied`: Number of kills after which these numbers were not of the same commit.
        `kills`: Number of kills.
        `kills_with_something_kept`: Number of kills after which the configuration had the drain.
    """
    draw, partly_applied, applied = random.Random(8), 0, 0
    scenario = parse_scenario(SCENARIO.format(seconds=1, directors=1))
    with tempfile.TemporaryDirectory() as folder:
        lab = Lab(scenario, folder)
        from mulleinrelay.standins.environment import LoopbackEnvironment

        lab.environment = LoopbackEnvironment(lab.fleet)
        lab.start_directors()
        for round_number in range(count):
            director = lab.directors[-1]
            target, first = (
                GnmiTarget(director.gnmi_address, ConnectionOptions()),
                round_number * 100,
            )

            def commit_changes(target: GnmiTarget = target, first: int = first) -> None:
                try:
                    for step in range(100):
                        target.set(
                            updates=[
                                (parse_path(f"{DRAIN_PATH}[box=zz]/reason"), str(first + step)),
                                (
                                    parse_path("/fleet/assignment/tenant[name=acme]/weight"),
                                    f"{first + step + 1}.0",
                                ),
                            ]
                        )
                except GnmiCallError:
                    pass

            writer = threading.Thread(target=commit_changes)
            writer.start()
            time.sleep(0.02 + 0.12 * draw.random())
            director.process.send_signal(signal.SIGKILL)
            director.process.wait()
            writer.join(10.0)
            target.close()
            lab.restart(director)
            restarted = GnmiTarget(director.gnmi_address, ConnectionOptions())
            config = dict(restarted.get(parse_path("/fleet"), 1))[parse_path("/fleet")]
            weight = float(
                next(
                    tenant for tenant in config["assignment"]["tenant"] if tenant["name"] == "acme"
                )["weight"]
            )
            reason = next(
                (drain.get("reason") for drain in config.get("drains", {}).get("drain", ())), None
            )
            stored_weight = store.load_assignment(lab.assignment_path).tenants["acme"].weight
            applied += reason is not None
            partly_applied += (
                reason is not None and not float(reason) + 1.0 == weight == stored_weight
            )
            restarted.close()
        for director in lab.directors:
            director.stop()
        lab.environment.close()
    return {"half_applied": partly_applied, "kills": count, "kills_with_something_kept": applied}


def measure_full_get() -> dict:
    """Measure Get calls for all data, with 2,000 more caches and 10,000 more tenants.

    Returns:
        The median duration in ms, and the number of caches in the response.
    """
    text = (
        SCENARIO.format(seconds=1, directors=1)
        .replace("caches = s-1 s-2 s-3 s-4 s-5 s-6", "caches = s-1")
        .replace(
            "[load acme]",
            "\n".join(f"[tenant t-{number}]\ncell = north" for number in range(10_000))
            + "\n[load acme]",
        )
    )
    with tempfile.TemporaryDirectory() as folder:
        lab = Lab(parse_scenario(text), folder)
        from mulleinrelay.standins.environment import LoopbackEnvironment

        lab.environment = LoopbackEnvironment(lab.fleet)
        rows = [
            {
                "id": f"b-{number}",
                "addr": "127.0.0.1:1",
                "zone": "hub",
                "kind": "box",
                "cell": 0,
                "state": "SERVING",
                "weight": 4,
                "started_ms": 0,
            }
            for number in range(2_000)
        ]
        lab.start_directors()
        lab.environment.stream.publish({"topology": {"version": 9, "full": False, "servers": rows}})
        target, durations_ms = (
            GnmiTarget(lab.directors[0].gnmi_address, ConnectionOptions(timeout_s=60.0)),
            [],
        )
        time.sleep(1.0)
        for _ in range(5):
            began = time.perf_counter()
            response = target.get(())
            durations_ms.append(1000.0 * (time.perf_counter() - began))
        boxes = len(response[0][1]["fleet"]["boxes"]["box"])
        target.close()
        lab.directors[0].stop()
        lab.environment.close()
    return {"get_full_ms": round(statistics.median(durations_ms)), "get_full_boxes": boxes}


def request_p99_ms(subscriptions: int) -> tuple[float, int]:
    """Return the 99th percentile of the latency of client requests during management calls.

    Args:
        subscriptions: Number of open subscriptions. If it is not 0, Get calls are also sent
            continuously.

    Returns:
        The percentile in ms, and the number of subscriptions.
    """
    lab, ended = Lab(parse_scenario(SCENARIO.format(seconds=8, directors=1))), threading.Event()

    def start_calls(running_lab: Lab) -> None:
        def read_updates() -> None:
            target = gnmi_targets(running_lab)[0]
            try:
                for _ in target.watch([parse_path("/fleet")]):
                    if ended.is_set():
                        break
            except GnmiCallError:
                pass

        def send_gets() -> None:
            target = gnmi_targets(running_lab)[0]
            try:
                while not ended.is_set():
                    target.get(parse_path("/fleet/boxes"))
                    time.sleep(0.01)
            except GnmiCallError:
                pass

        for _ in range(subscriptions):
            threading.Thread(target=read_updates, daemon=True).start()
        if subscriptions:
            threading.Thread(target=send_gets, daemon=True).start()

    lab.run(on_load_started=start_calls)
    ended.set()
    return lab.load_generators[0].percentile(0.99, 1.5, 8.0), subscriptions


def resident_mb(management: bool) -> float:
    """Return the resident memory of an idle director in MiB, with or without management."""
    text = SCENARIO.format(seconds=1, directors=1)
    with tempfile.TemporaryDirectory() as folder:
        lab = Lab(
            parse_scenario(text if management else text.replace("management = yes\n", "")), folder
        )
        from mulleinrelay.standins.environment import LoopbackEnvironment

        lab.environment = LoopbackEnvironment(lab.fleet)
        lab.start_directors()
        time.sleep(0.5)
        with open(f"/proc/{lab.directors[0].process.pid}/status", encoding="ascii") as file:
            resident = next(
                int(line.split()[1]) / 1024 for line in file if line.startswith("VmRSS")
            )
        lab.directors[0].stop()
        lab.environment.close()
    return round(resident, 1)


@click.command()
@click.option("--json", "as_json", is_flag=True, help="One JSON object as the last line.")
@click.option("--kills", "kill_count", type=int, default=60, show_default=True)
def main(as_json: bool, kill_count: int) -> None:
    """Measure drains, rejected and interrupted commits, and the cost of management."""
    result = measure_drains()
    result |= measure_rejections()
    result |= measure_kills(kill_count)
    result |= measure_full_get()
    calm, loaded = request_p99_ms(0)[0], request_p99_ms(20)[0]
    result |= {
        "request_p99_ratio": round(loaded / calm, 3),
        "request_p99_ms": [round(calm, 1), round(loaded, 1)],
    }
    result |= {"rss_mb": {"off": resident_mb(False), "on": resident_mb(True)}}
    if as_json:
        click.echo(json.dumps(result))
    else:
        for name, value in result.items():
            click.echo(f"{name:<28} {value}")


if __name__ == "__main__":
    main()
