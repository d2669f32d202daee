"""FAILBACK: backends that start again under the id that they had."""
import asyncio
import os
import sys
import time

sys.path.insert(0, os.path.dirname(os.path.dirname(os.path.abspath(__file__))))
import stand_in

ENTRY_NODES = 4
CLIENTS = 3          # of each entry node
REQUESTS_PER_S = 180  # of all clients together
WARMUP_PER_S = 10.0
BOUND = WARMUP_PER_S * 1.5 + 5  # warmup_per_s x warmup_factor + warmup_slack
CRASHES_ABOVE = 2 * BOUND       # "well above" the rate that a cold backend tolerates
DOWN_S = 1.0
CALM_S = 5
LENGTH_S = 20


def busiest_second(world, backend):
    """Most requests that were sent and arrived inside one second while the backend was cold."""
    arrivals = backend.cold_arrivals
    return max((sum(1 for at_s, attempt in arrivals
                    if end_s - 1 < at_s <= end_s and world.sent.get(attempt, 0) > end_s - 1)
                for end_s, _ in arrivals), default=0)


async def case(world):
    cluster = stand_in.Cluster(ENTRY_NODES)
    for i in range(3):
        backend = stand_in.Backend(world, "desk", f"z{i}")
        backend.crash_above, backend.restart_s = CRASHES_ABOVE, DOWN_S
    try:
        await world.start(cluster, {
            "version": 1, "routes": [stand_in.route("desk", "desk")],
            "services": [stand_in.service("desk", WARMUP_PER_S)], "limits": stand_in.LIMITS})
        clients = [stand_in.Client(world, cluster, node)
                   for node in cluster.entry() for _ in range(CLIENTS)]
        tasks = [asyncio.create_task(client.send_for(
            LENGTH_S, REQUESTS_PER_S / len(clients), "/desk/x")) for client in clients]
        await asyncio.sleep(CALM_S)
        if stand_in.TROUBLE:
            for backend in world.backends:
                world.record(f"crash of {backend.id}")
                backend.crash()
                asyncio.create_task(backend.restart_later())
        await asyncio.gather(*tasks)
        worst = 0
        for backend in world.backends:
            most = busiest_second(world, backend)
            worst = max(worst, most)
            crashes = [f"{at_s - world.began_s:.2f}" for at_s in backend.crashes]
            text = f"{backend.id}: {most} requests in one second while cold, bound {BOUND:g}; " \
                   f"crashes at {', '.join(crashes) or 'no time'}"
            world.record(text)
            print(text)
        counts = stand_in.count_statuses(clients)
        world.record(f"answers by status: {counts}")
        print("answers by status:", counts)
        return worst > BOUND
    finally:
        cluster.stop()


stand_in.run(case)
