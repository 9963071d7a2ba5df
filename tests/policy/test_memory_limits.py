"""Division of the memory limit among its uses."""

import pytest

from mulleinrelay.policy.memory_limits import (
    BASE_MEMORY_MB,
    CONNECTION_BYTES,
    MAX_RECEIVE_BLOCK_BYTES,
    MIN_RECEIVE_BLOCK_BYTES,
    memory_limits,
)

PLATFORM_LIMITS = [
    (memory_mb, descriptors) for memory_mb in (32, 64, 128, 192) for descriptors in (256, 1024)
]


@pytest.mark.parametrize(("memory_mb", "expected"), [(8, 1e6), (32, 2.4e6), (192, 34.4e6)])
def test_request_memory_is_a_fraction_of_what_the_program_leaves(memory_mb, expected):
    assert memory_limits(memory_mb, 1024).request_bytes == pytest.approx(expected)


@pytest.mark.parametrize(("memory_mb", "descriptors"), PLATFORM_LIMITS)
def test_connections_leave_memory_for_other_uses_whatever_the_limits(memory_mb, descriptors):
    # Guards against a table of connections that follows the descriptors alone: the threads and
    # buffers of hundreds of clients exceeded a small memory limit.
    limits = memory_limits(memory_mb, descriptors)
    client_bytes = limits.max_clients * CONNECTION_BYTES
    upstream_bytes = limits.max_upstream_connections * (
        CONNECTION_BYTES + limits.receive_block_bytes
    )
    assert client_bytes + upstream_bytes <= 0.75e6 * (memory_mb - BASE_MEMORY_MB)
    assert MIN_RECEIVE_BLOCK_BYTES <= limits.receive_block_bytes <= MAX_RECEIVE_BLOCK_BYTES


@pytest.mark.parametrize(("memory_mb", "descriptors"), [(64, 256), (192, 256), (192, 1024)])
def test_descriptors_alone_limit_the_connections_of_a_director_with_enough_memory(
    memory_mb, descriptors
):
    limits = memory_limits(memory_mb, descriptors)
    assert limits.max_clients == descriptors // 2
    assert limits.max_upstream_connections == int(0.4 * descriptors)
    assert limits.receive_block_bytes == MAX_RECEIVE_BLOCK_BYTES


@pytest.mark.parametrize("descriptors", [128, 256, 1024])
def test_clients_may_hold_a_third_of_the_descriptors_from_64_mb_on(descriptors):
    assert memory_limits(64, descriptors).max_clients >= descriptors / 3
