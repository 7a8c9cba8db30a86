# A quiet day of a small deployment: the base from which the others differ.
scenario(name = "calm", bounds = bounds(worth = 0.95, over_quota = 0.02, calls_each = 1.0))
