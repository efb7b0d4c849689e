"""Decision logic of the gateway, free of I/O, clocks and global randomness."""
