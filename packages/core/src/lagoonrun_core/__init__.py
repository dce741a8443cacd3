"""Ids, outcomes, log events and clocks shared by all lagoonrun packages."""
