"""Orders to upstreams: who may send them, and which are due."""
