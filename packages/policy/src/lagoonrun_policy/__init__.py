"""Pure decisions: order of service, admission and choice of upstream."""
