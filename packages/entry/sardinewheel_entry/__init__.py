"""The entry host process: network I/O around the decision logic of the core."""
