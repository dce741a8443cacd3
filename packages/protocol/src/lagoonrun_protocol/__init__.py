"""The protocol between lagoonrun's own processes."""
