# A booking platform with two kinds of machines in three halls: requests of one to eight units, a tier that limits both the
# attempts in flight and the rate by a ceiling, a class that must never run twice, load reports that tell only requests a
# second, and at most three attempts per request.
scenario(
    name = "booking",
    limiters = 3, nodes = 13, halls = 3,
    node = node(cores = 3, slots = 16, queue = 50, work_cv2 = 0.8, thrash = 0.02, cold_share = 0.3, cold_seconds = 12, cancels = True,
        stops = True, reports = True, conns = 1200, handshake_ms = 1.1),
    machines = [machine(share = 0.55, cores = 3, speed = [0.85, 1.1]), machine(share = 0.45, cores = 2, speed = [0.64, 0.86])],
    rules = rules(attempts = 3, drain_grace = 0.25, fall_multiple = 2, fall = 3),
    units = units(most = 8, mean = 2),
    network = network(within_ms = [0.08, 0.34], across_ms = [1.4, 2.6], jitter_ms = 0.1),
    counter = counter(per_second = 1250, ms = [0.55, 1.5], timeout_ms = 50),
    discovery = discovery(late = [1, 4.4]),
    clients = clients(retries = 2, wait = [0.04, 0.3], give_up = [0.5, 1], honour = 0.6, notice = [0.85, 3.5], marks_own = True),
    firms = firms(count = 210, use = [0.21, 0.43], full = 0.14, heavy = 0.1, heavy_x = [2.1, 4.3], spread = [2, 3], shift = [7.5, 19], skew = 0.6),
    tiers = [
        tier(name = "starter", rate = 1.6, burst = 16, price = 0.45, over_cost = 1.2),
        tier(name = "standard", rate = 2.9, burst = 16, price = 0.72, over_cost = 1.2),
        tier(name = "busy", rate = 8.7, burst = 32, open = 3, price = 1.1, over_cost = 0.6, ceiling_rate = 17, ceiling_burst = 64, ceiling_slack = 8),
        tier(name = "fleet", rate = 22, burst = 44, price = 1.8, over_cost = 1),
    ],
    shares = [0.543, 0.324, 0.086, 0.047],
    classes = [
        request_class(name = "check", share = 0.81, work_ms = [55, 96], aim = 0.75, deadline = 2, worth = 1),
        request_class(name = "book", share = 0.19, work_ms = [92, 160], aim = 1.5, deadline = 5, worth = 5, unsafe = True),
    ],
    bounds = bounds(worth = 0.85, over_quota = 0.04, calls_each = 1.0),
)
