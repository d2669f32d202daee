"""DENIED: requests within a max_header_bytes that a manifest has raised."""
import asyncio
import os
import sys

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import stand_in

RAISED_BYTES = 65536
LINE_BYTES = 1024
CONFIG_APPLY_S = 3
REQUESTS = 300


async def case(world):
    cluster = stand_in.Cluster(2)
    for i in range(3):
        stand_in.Backend(world, "desk", f"z{i}")
    manifest = {"version": 1, "routes": [stand_in.route("desk", "desk")],
                "services": [stand_in.service("desk")], "limits": dict(stand_in.LIMITS)}
    try:
        await world.start(cluster, manifest)
        manifest["version"] = 2
        if stand_in.TROUBLE:
            manifest["limits"]["max_header_bytes"] = RAISED_BYTES
        if not await world.configure(cluster, manifest):
            raise stand_in.CannotRun("the second manifest is not acknowledged")
        await asyncio.sleep(CONFIG_APPLY_S + stand_in.CONTACT_S)
        # Five eighths of the limit, which leaves room for the first line and the other headers.
        count = manifest["limits"]["max_header_bytes"] * 5 // 8 // LINE_BYTES
        lines = "".join(f"X-{i:04d}: {'v' * (LINE_BYTES - 10)}\r\n" for i in range(count))
        clients = [stand_in.Client(world, cluster, node) for node in cluster.entry()]
        for number in range(REQUESTS):
            client = clients[number % len(clients)]
            await client.get("/desk/x", more_lines=lines if number % 10 == 0 else "")
        counts = stand_in.count_statuses(clients)
        denied = sum(number for status, number in counts.items()
                     if status is not None and 300 <= status < 500
                     and status not in (408, 421, 429))
        text = f"max_header_bytes {manifest['limits']['max_header_bytes']}, headers of " \
               f"{len(lines)} bytes in one request of ten; answers by status: {counts}"
        world.record(text)
        print(text)
        return denied > 5 + REQUESTS / 500
    finally:
        cluster.stop()


stand_in.run(case)
