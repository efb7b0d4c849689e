"""The operators' command line, with its query and command language."""
