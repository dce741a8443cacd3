"""The operator command line."""
