"""The router process of an entry VM."""
