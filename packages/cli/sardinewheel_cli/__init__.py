"""The operators' command line and its query and command language."""
