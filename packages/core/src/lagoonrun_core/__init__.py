"""Ids, outcomes, log events and clocks that every lagoonrun package shares."""
