"""Membership of entry VMs and state of upstreams, by a SWIM protocol."""
