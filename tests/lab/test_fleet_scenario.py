import pytest

from mulleinrelay.errors import ConfigError
from mulleinrelay.lab.fleet import addresses
from mulleinrelay.lab.fleet.load import LocationLoad, RequestPlan, can_retry_after_disconnect
from mulleinrelay.lab.fleet.scenario_parser import parse_fleet_scenario

FLEET_LAB = "[fleet lab]\nseconds = 30\nseed = 3\n"
KILL_SCENARIO = FLEET_LAB + "[fault k]\nwhat = kill\nat = 5\nfor = 8\nshare = 0.7\n"


@pytest.mark.parametrize(
    ("text", "message"),
    [
        (FLEET_LAB + "[fleet]\n", r"\[fleet\]: unknown section; known sections: "),
        (FLEET_LAB + "colour = red\n", r"\[fleet lab\] colour: unknown key; known keys: "),
        (FLEET_LAB + "warm_s = 40\n", r"\[fleet lab\] warm_s"),
        (FLEET_LAB + "[directors]\ncount = 5001\n", r"\[directors\] count"),
        (FLEET_LAB + "[nodes]\nlocations = a a\n", r"\[nodes\] locations"),
        (FLEET_LAB + "[nodes]\nlocations = a b c\ncaches = 900\n", r"\[nodes\] caches"),
        (
            FLEET_LAB + "[nodes]\nnotice_from_ms = 900\nnotice_to_ms = 100\n",
            r"\[nodes\] notice_to_ms",
        ),
        (FLEET_LAB + "[load]\nrate = much\n", r"\[load\] rate"),
        (FLEET_LAB + "[fault]\nwhat = kill\n", r"\[fault\]: unknown section; known sections: "),
        (FLEET_LAB + "[fault a]\nat = 3\n", r"\[fault a\] what"),
        (FLEET_LAB + "[fault a]\nwhat = cut\nother = south\nat = 3\n", r"\[fault a\] other"),
        (FLEET_LAB + "[fault a]\nwhat = cut\n", r"\[fault a\] at: the key is missing"),
        (FLEET_LAB + "[fault a]\nwhat = cut\nat = 3\npaths = moon\n", r"\[fault a\] paths"),
        (FLEET_LAB + "[fault a]\nwhat = cut\nat = 3\nlocation = west\n", r"\[fault a\] location"),
        (FLEET_LAB + "[fault a]\nwhat = cut\nat = 3\nway = left\n", r"\[fault a\] way"),
        (FLEET_LAB + "[fault a]\nwhat = cut\nat = 28\nfor = 3\n", r"\[fault a\] for"),
        (FLEET_LAB + "[fault a]\nwhat = node_slow\nat = 3\nnodes = c-0\n", r"\[fault a\] nodes"),
        (FLEET_LAB + "[fault a]\nwhat = shift\nat = 3\nlocation = north\n", r"\[fault a\] other"),
    ],
)
def test_an_error_names_its_section_and_key(text, message):
    with pytest.raises(ConfigError, match=message):
        parse_fleet_scenario(text)


def test_the_same_seed_gives_the_same_steps_and_another_one_does_not():
    def steps_of(text):
        return [(step.at_s, step.directors) for step in parse_fleet_scenario(text).steps()]

    assert (
        steps_of(KILL_SCENARIO)
        == steps_of(KILL_SCENARIO)
        != steps_of(KILL_SCENARIO.replace("seed = 3", "seed = 4"))
    )
    assert [len(directors) for _, directors in steps_of(KILL_SCENARIO)] == [28] + 28 * [1]


@pytest.mark.parametrize(
    ("fault", "director_count", "starts", "ends"),
    [
        ("what = stop\nshare = 0.5\nfor = 5\n", 20, 1, 1),
        ("what = restart\nover = 10\n", 1, 40, 0),
        ("what = cut\nlocation = north\nfor = 6\n", 20, 1, 1),
        ("what = node_errors\nseen_by = 0.5\nshare = 0.25\nfor = 6\n", 20, 1, 1),
    ],
)
def test_a_fault_affects_the_given_fraction_of_directors(fault, director_count, starts, ends):
    steps = parse_fleet_scenario(FLEET_LAB + "[fault a]\nat = 4\n" + fault).steps()
    assert {len(step.directors) for step in steps} == {director_count}
    assert [sum(step.is_start is is_start for step in steps) for is_start in (True, False)] == [
        starts,
        ends,
    ]
    assert all(4.0 <= step.at_s <= 14.0 for step in steps)


def test_director_rates_are_uneven_and_sum_to_the_rate():
    scenario = parse_fleet_scenario(
        FLEET_LAB + "[directors]\ncount = 300\nuneven = 1.2\n[load]\nrate = 900\n"
    )
    rates = scenario.director_rates()
    assert 0.95 < sum(rates) / 900 < 1.1 and max(rates) > 25 and min(rates) < 0.4


def test_nodes_have_distinct_names_and_a_zone():
    scenario = parse_fleet_scenario(
        FLEET_LAB + "[nodes]\nlocations = a b c d e f g h\ncaches = 12\nparents = 8\n"
    )
    sites = scenario.node_sites()
    assert len({site.name for site in sites}) == len(sites) == 8 * 12 + 16 + 1
    assert {site.zone for site in sites} == set(scenario.zones())


@pytest.mark.parametrize(
    ("since_start_s", "north", "south"), [(5.0, 1.0, 1.0), (12.0, 0.5, 1.5), (25.0, 1.0, 1.0)]
)
def test_a_shift_moves_load_between_locations(since_start_s, north, south):
    scenario = parse_fleet_scenario(
        FLEET_LAB + "[directors]\nuneven = 0\n[fault s]\nwhat = shift\nat = 10\nfor = 5\nby = 0.5\n"
        "location = north\nother = south\n"
    )
    normal_rate = scenario.rate / 2
    assert LocationLoad(scenario, "north").rate_at(since_start_s) == pytest.approx(
        north * normal_rate
    )
    assert LocationLoad(scenario, "south").rate_at(since_start_s) == pytest.approx(
        south * normal_rate
    )


def test_a_hot_object_takes_its_fraction_of_requests():
    scenario = parse_fleet_scenario(
        FLEET_LAB + "[load]\norders = 0\n[fault h]\nwhat = hot\nat = 10\nfor = 5\nby = 0.2\n"
    )
    load = LocationLoad(scenario, "north")
    object_ids = [load.draw_request(12.0).object_id for _ in range(2000)]
    hot = max(set(object_ids), key=object_ids.count)
    assert 0.17 < object_ids.count(hot) / 2000 < 0.24 and hot not in [
        load.draw_request(8.0).object_id for _ in range(2000)
    ]


@pytest.mark.parametrize("director", [0, 1, 254, 255, 256, 399, 4999])
def test_each_address_of_a_director_identifies_it(director):
    all_addresses = [
        addresses.listen_address(director),
        addresses.proxy_address(director),
        addresses.advertised_address(director),
    ]
    assert [addresses.director_of(address) for address in all_addresses] == [director] * 3 and len(
        set(all_addresses)
    ) == 3


@pytest.mark.parametrize("address", ["127.0.0.1", "10.20.0.1", "127.40.0.1", "x"])
def test_other_addresses_belong_to_no_director(address):
    assert addresses.director_of(address) == -1


@pytest.mark.parametrize(
    ("directors", "caches", "rejected_key"),
    [(400, 50, ""), (401, 50, "count"), (10, 250, "caches"), (0, 5, "count"), (5001, 5, "count")],
)
def test_a_scenario_too_large_for_processes_is_rejected(directors, caches, rejected_key):
    scenario = parse_fleet_scenario(FLEET_LAB + f"[nodes]\ncaches = {caches}\n")
    if not rejected_key:
        assert scenario.with_directors(directors).require_process_limits().directors == directors
        return
    with pytest.raises(ConfigError, match=rejected_key):
        scenario.with_directors(directors).require_process_limits()


@pytest.mark.parametrize(
    ("request_class", "tries", "remaining_ms", "can_retry"),
    [
        ("pages", 1, 500.0, True),
        ("order", 2, 500.0, True),
        ("order", 3, 500.0, False),
        ("pages", 1, 90.0, False),
        ("pay", 1, 500.0, False),  # the first try may have been executed
    ],
)
def test_clients_retry_after_a_disconnect_only_if_it_is_safe(
    request_class, tries, remaining_ms, can_retry
):
    assert (
        can_retry_after_disconnect(
            parse_fleet_scenario(FLEET_LAB),
            RequestPlan(request_class, 1, 4.0, ""),
            tries,
            remaining_ms,
        )
        is can_retry
    )
