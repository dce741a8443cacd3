"""Wire protocol between lagoonrun's own processes."""
