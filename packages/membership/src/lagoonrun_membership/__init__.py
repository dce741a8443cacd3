"""Membership of entry VMs and states of upstreams."""
