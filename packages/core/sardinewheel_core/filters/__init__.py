"""The filters of the request path, one module each."""
