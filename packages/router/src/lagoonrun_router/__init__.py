"""Route requests in fleets whose upstreams register themselves in a store.

Each entry VM decides on its own, from the contents of the store, the results of
its own requests, and the reports of the other entry VMs about theirs.
"""
