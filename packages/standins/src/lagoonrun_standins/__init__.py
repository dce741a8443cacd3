"""Simulated engines, plain services and platform; load tools. Not shipped."""
