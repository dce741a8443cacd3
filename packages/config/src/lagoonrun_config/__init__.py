"""Declarations, their checks, snapshots and the settings of a process."""
