"""The `lagoonrund` daemon, the process of an entry VM."""
