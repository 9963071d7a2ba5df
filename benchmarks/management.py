"""What management brings and costs: `python -m benchmarks.management --json`, one JSON object as
the last line.

Directors are real processes on loopback; nodes and clients are stand-ins of ours.
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
DRAIN = "/fleet/drains/drain"
REFUSALS = [
    ("/fleet/none", 1),
    ("/fleet/boxes", {}),
    (f"{DRAIN}[box=s 1]", {}),
    (f"{DRAIN}[box=s-1]/scope", "never"),
    (f"{DRAIN}[box=s-1]/forced", "maybe"),
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


def targets(lab: Lab) -> list[GnmiTarget]:
    return [GnmiTarget(director.gnmi_address, ConnectionOptions()) for director in lab.directors]


def drains(count: int = 50, directors: int = 3) -> dict:
    """From a Set's arrival at a director to the last attempt or fill source that this director
    named the box for.
    """
    lab, took, lost = (
        Lab(parse_scenario(SCENARIO.format(seconds=max(8, count // 2 + 3), directors=directors))),
        [],
        [],
    )

    def work(held: Lab) -> None:
        def run() -> None:
            chance, at = random.Random(3), targets(held)
            time.sleep(1.0)
            for _ in range(count):
                box = chance.choice([name for name in held.fleet.nodes if name.startswith("s-")])
                path = parse_path(f"{DRAIN}[box={box}]")
                sent = now_ms()
                for target in at:
                    target.set(updates=[(path, {})])
                time.sleep(0.3)
                took.append(max(0.0, held.fleet.nodes[box].last_referenced_at - sent))
                for target in at:
                    target.set(deletes=[path])
                time.sleep(0.05)

        held.thread = threading.Thread(target=run)
        held.thread.start()

    found = lab.run(on_load_started=work)
    lab.thread.join(5.0)
    lost.append(found["total"]["no_answer"] + found["total"]["cut_off"])
    return {
        "drain_ms_max": round(max(took), 1),
        "drain_ms_median": round(statistics.median(took), 1),
        "drains": len(took),
        "drain_requests_lost": lost[0],
    }


def refusals(count: int = 200) -> dict:
    """What 200 refused changes leave behind, in what runs, in state, in files and in the log."""
    lab, told = (
        Lab(
            parse_scenario(
                SCENARIO.format(seconds=6, directors=1).replace("rate = 150", "rate = 5")
            )
        ),
        {},
    )

    def work(held: Lab) -> None:
        target = targets(held)[0]
        target.set(updates=[(parse_path(f"{DRAIN}[box=s-6]"), {"reason": "before"})])

        def shot() -> list:
            config = target.get(parse_path("/"), 1)
            state = target.get(parse_path("/fleet/datastore"))
            with open(os.path.join(held.folder, "state-n0", "datastore"), "rb") as file:
                data = file.read()
            with open(os.path.join(held.folder, "n0.log"), "rb") as file:
                lines = sum(b'"management"' in line for line in file)
            return [config, state, data, store.load_assignment(held.assignment), lines]

        time.sleep(0.6)  # the line on that drain is written by then
        before, refused = shot(), 0
        for number in range(count):
            path, value = REFUSALS[number % len(REFUSALS)]
            try:
                target.set(
                    updates=[(parse_path(f"{DRAIN}[box=s-5]"), {}), (parse_path(path), value)]
                )
            except GnmiCallError:
                refused += 1
        told.update(
            refused=refused, refused_traces=sum(a != b for a, b in zip(before, shot(), strict=True))
        )
        begun = time.perf_counter()
        for number in range(100):
            target.set(updates=[(parse_path(f"{DRAIN}[box=s-5]/reason"), str(number))])
        told["set_per_s"] = round(100 / (time.perf_counter() - begun), 1)

    lab.run(on_load_started=work)
    return told


def kills(count: int) -> dict:
    """A director killed at random points of commits that change a drain and a tenant together."""
    chance, half, seen = random.Random(8), 0, 0
    scenario = parse_scenario(SCENARIO.format(seconds=1, directors=1))
    with tempfile.TemporaryDirectory() as folder:
        lab = Lab(scenario, folder)
        from mulleinrelay.standins.environment import LoopbackEnvironment

        lab.environment = LoopbackEnvironment(lab.fleet)
        lab.start_directors()
        for turn in range(count):
            director = lab.directors[-1]
            target, number = GnmiTarget(director.gnmi_address, ConnectionOptions()), turn * 100

            def write(target: GnmiTarget = target, number: int = number) -> None:
                try:
                    for step in range(100):
                        target.set(
                            updates=[
                                (parse_path(f"{DRAIN}[box=zz]/reason"), str(number + step)),
                                (
                                    parse_path("/fleet/assignment/tenant[name=acme]/weight"),
                                    f"{number + step + 1}.0",
                                ),
                            ]
                        )
                except GnmiCallError:
                    pass

            writer = threading.Thread(target=write)
            writer.start()
            time.sleep(0.02 + 0.12 * chance.random())
            director.process.send_signal(signal.SIGKILL)
            director.process.wait()
            writer.join(10.0)
            target.close()
            lab.restart(director)
            after = GnmiTarget(director.gnmi_address, ConnectionOptions())
            held = dict(after.get(parse_path("/fleet"), 1))[parse_path("/fleet")]
            weight = float(
                next(one for one in held["assignment"]["tenant"] if one["name"] == "acme")["weight"]
            )
            reason = next(
                (one.get("reason") for one in held.get("drains", {}).get("drain", ())), None
            )
            file = store.load_assignment(lab.assignment_path).tenants["acme"].weight
            seen += reason is not None
            half += reason is not None and not float(reason) + 1.0 == weight == file
            after.close()
        for director in lab.directors:
            director.stop()
        lab.environment.close()
    return {"half_applied": half, "kills": count, "kills_with_something_kept": seen}


def size() -> dict:
    """A full Get at 2,000 boxes and 10,000 tenants."""
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
        target, took = (
            GnmiTarget(lab.directors[0].gnmi_address, ConnectionOptions(timeout_s=60.0)),
            [],
        )
        time.sleep(1.0)
        for _ in range(5):
            begun = time.perf_counter()
            whole = target.get(())
            took.append(1000.0 * (time.perf_counter() - begun))
        boxes = len(whole[0][1]["fleet"]["boxes"]["box"])
        target.close()
        lab.directors[0].stop()
        lab.environment.close()
    return {"get_full_ms": round(statistics.median(took)), "get_full_boxes": boxes}


def flood(streams: int) -> tuple[float, int]:
    """p99 of requests, with so many streams and a flood of Gets."""
    lab, ended = Lab(parse_scenario(SCENARIO.format(seconds=8, directors=1))), threading.Event()

    def work(held: Lab) -> None:
        def stream() -> None:
            target = targets(held)[0]
            try:
                for _ in target.watch([parse_path("/fleet")]):
                    if ended.is_set():
                        break
            except GnmiCallError:
                pass

        def gets() -> None:
            target = targets(held)[0]
            try:
                while not ended.is_set():
                    target.get(parse_path("/fleet/boxes"))
                    time.sleep(0.01)
            except GnmiCallError:
                pass

        for _ in range(streams):
            threading.Thread(target=stream, daemon=True).start()
        if streams:
            threading.Thread(target=gets, daemon=True).start()

    lab.run(on_load_started=work)
    ended.set()
    return lab.load_generators[0].percentile(0.99, 1.5, 8.0), streams


def rss(management: bool) -> float:
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
            found = next(int(line.split()[1]) / 1024 for line in file if line.startswith("VmRSS"))
        lab.directors[0].stop()
        lab.environment.close()
    return round(found, 1)


@click.command()
@click.option("--json", "as_json", is_flag=True, help="One JSON object as the last line.")
@click.option("--kills", "kill_count", type=int, default=60, show_default=True)
def main(as_json: bool, kill_count: int) -> None:
    """What management brings and costs, on this machine."""
    found = drains()
    found |= refusals()
    found |= kills(kill_count)
    found |= size()
    calm, flooded = flood(0)[0], flood(20)[0]
    found |= {
        "request_p99_ratio": round(flooded / calm, 3),
        "request_p99_ms": [round(calm, 1), round(flooded, 1)],
    }
    found |= {"rss_mb": {"off": rss(False), "on": rss(True)}}
    if as_json:
        click.echo(json.dumps(found))
    else:
        for name, value in found.items():
            click.echo(f"{name:<28} {value}")


if __name__ == "__main__":
    main()
