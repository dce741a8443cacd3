"""The error for invalid messages, store entries and settings."""

from lagoonrun_core import errors


class FormatError(errors.LagoonrunError):
    """A message, an entry of the store or a setting is invalid."""
