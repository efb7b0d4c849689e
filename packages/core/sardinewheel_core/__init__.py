"""The decisions of sardinewheel, without I/O."""
