"""Tasks of one entry VM for the fleet: usage reports and runner orders."""
