"""Randomized soak of the real programs under faults from outside.

One process plays the store, the upstreams, the callers and the network of a
fleet; the entry VMs are real processes on loopback addresses. Faults come in
series and overlap, by a seed; the promises are checked from what callers and
upstreams saw.
"""
