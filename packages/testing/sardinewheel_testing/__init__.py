"""Stand-ins for what is outside the system, and helpers for tests."""
