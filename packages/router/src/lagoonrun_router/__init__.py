"""Route requests on fleets whose upstreams register themselves in a store.

Each entry VM decides alone, by the shared view of the store, by what its own
requests met, and by what the other entry VMs tell it of theirs.
"""
