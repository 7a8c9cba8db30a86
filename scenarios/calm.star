# Normal load on a small deployment: the baseline from which the other scenarios differ.
scenario(name = "calm", bounds = bounds(worth = 0.95, over_quota = 0.02, calls_each = 1.0))
