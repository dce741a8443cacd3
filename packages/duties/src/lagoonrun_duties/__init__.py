"""What one entry VM at a time does for all: usage reports and runner orders."""
