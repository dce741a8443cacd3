"""Claims of idempotency keys: at most once across entry VMs."""
