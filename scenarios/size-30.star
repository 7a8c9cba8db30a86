# 30 limiters, 300 nodes and 20000 firms that recur.
scenario(name = "size-30", scale = scale(limiters = 30, nodes = 300, firms = 20000, one_offs = 0), seconds = 60)
