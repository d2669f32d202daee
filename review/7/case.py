"""LOST: requests with many header lines or query parameters, within max_header_bytes."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import stand_in

SHARDS = 12
LINE_BYTES = 40  # of a header line, with its line end
LINES = range(325, 355)
PARAMETERS = range(490, 515)
ROUNDS = 2
BASE_BYTES = 300  # at least the bytes of the other headers


def header_lines(count):
    """Bytes of count header lines, as so many lines or, without trouble, as 16 long ones."""
    if stand_in.TROUBLE:
        return "".join(f"X-{i:04d}: {'v' * (LINE_BYTES - 10)}\r\n" for i in range(count))
    size = count * LINE_BYTES // 16
    return "".join(f"X-{i:04d}: {'v' * (size - 10)}\r\n" for i in range(16))


def query(count):
    """Bytes of count parameters, as so many parameters or, without trouble, as one."""
    separator = "&id=" if stand_in.TROUBLE else "----"
    return "?id=" + separator.join(str(1000 + i) for i in range(count))


async def send(world, cluster, number, path, lines):
    """A plain request and then this one on the same connection; True if that one was lost."""
    size = len(path) + len(lines) + BASE_BYTES
    assert size <= stand_in.LIMITS["max_header_bytes"]
    client = stand_in.Client(world, cluster, cluster.entry()[number % 2])
    if await client.get("/all/x") != 200:
        raise stand_in.CannotRun("a plain request on a new connection is not served")
    status = await client.get(path, more_lines=lines)
    attempt = client.results[-1][1]
    client.close()
    ran = sum(1 for _, each, *_ in world.runs if each == attempt)
    world.record(f"{attempt}: {len(path)} bytes of path, {len(lines)} of headers in "
                 f"{lines.count(':')} lines: status {status}, run by {ran} backends")
    return status, ran > 0 and status is None


async def case(world):
    cluster = stand_in.Cluster(2)
    names = [f"desk{i}" for i in range(SHARDS)]
    for i, name in enumerate(names):
        stand_in.Backend(world, name, f"z{i % 3}")
    fan_out = dict(stand_in.route("all", None), fanout=names, top_k=5, min_shard_ratio=0.75)
    del fan_out["service"]
    try:
        await world.start(cluster, {
            "version": 1, "routes": [fan_out],
            "services": [stand_in.service(name) for name in names], "limits": stand_in.LIMITS})
        lost = 0
        for what, requests in (
                ("header lines", [("/all/x", header_lines(count)) for count in LINES]),
                ("parameters", [("/all/x" + query(count), "") for count in PARAMETERS])):
            statuses = {}
            lost_here = 0
            for number, (path, lines) in enumerate(requests * ROUNDS):
                status, is_lost = await send(world, cluster, number, path, lines)
                statuses[status] = statuses.get(status, 0) + 1
                lost_here += is_lost
            lost += lost_here
            text = f"{what}: answers by status: {statuses}; {lost_here} requests ran, and their " \
                   "connections were closed without an answer"
            world.record(text)
            print(text)
        return lost > 3
    finally:
        cluster.stop()


stand_in.run(case)
