"""The entry host: I/O around the decisions of the core."""
