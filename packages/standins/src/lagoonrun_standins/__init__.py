"""Stand-ins for engines, plain services and the platform; load tools. Not shipped."""
