"""Declarations with their checks, snapshots, and settings of a process."""
