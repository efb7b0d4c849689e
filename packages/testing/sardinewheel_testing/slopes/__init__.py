"""Measures what control costs per block, site, peer, message and change."""
