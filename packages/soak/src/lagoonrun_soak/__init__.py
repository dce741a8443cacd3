"""Randomized soak test of the real programs under injected faults.

One process simulates the store, the upstreams, the callers and the network of
a fleet; the entry VMs are real processes on loopback addresses. Faults are
injected in overlapping series drawn from a seed. The guarantees are checked
against the recorded history of callers and upstreams.
"""
