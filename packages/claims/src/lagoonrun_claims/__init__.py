"""At-most-once claims of idempotency keys across entry VMs."""
