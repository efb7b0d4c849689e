"""Simulated external services, load generators and test helpers."""
