# The operators' own file: what the platform has no word for. Start a limiter with `-operator deploy/bramblefall.star`;
# `bramblefall check FILE` reads it without one. Read again at SIGHUP: plans and reservations change in service, the
# listeners stay. docs/operators/plans.md explains every field, docs/schema/bramblefall.schema.json is its schema.

def pool(associate, regular, full, ceiling = 2.0):
    """The three membership tiers by their rates; bursts and ceilings follow."""
    return [
        tier(name = "associate", rate = associate, burst = 5 * associate, price = 0.72, over_cost = 0.6),
        tier(name = "regular", rate = regular, burst = 5 * regular, price = 1.1, over_cost = 0.5),
        tier(
            name = "full", rate = full, burst = 2 * full, price = 1.8, over_cost = 0.5,
            ceiling_rate = ceiling * full, ceiling_burst = 2 * ceiling * full, ceiling_slack = 0.2 * ceiling * full,
        ),
    ]

bramblefall(
    # The gRPC rate limit service.
    ratelimit = ratelimit(listen = "127.0.0.1:8081", domain = "pallet-exchange"),

    # bramblefall plans ..., bramblefall reserve ...
    admin = admin(socket = "/tmp/bramblefall-admin.sock"),

    # Applied changes and reservations survive a restart here.
    # state_dir = "/var/lib/bramblefall",

    limits = limits(fleet_rate = 110, reserved_share = 0.3),
    plans = [
        plan(
            number = 1, effective = time("2026-12-31T21:00:00Z"), note = "month end",
            tiers = pool(associate = 0.8, regular = 3.5, full = 14),
            firms = [firm(firm = "b4d65521", tier = "full")],
        ),
    ],
    reservations = [
        reservation(
            id = "coffee-2027-01", firm = "b4d65521", units = 2000, rate = 20,
            start = time("2027-01-04T05:00:00Z"), end = time("2027-01-04T08:00:00Z"), note = "ahead of a shipment",
        ),
    ],
)
