"""Filters of the request pipeline, one module each."""
