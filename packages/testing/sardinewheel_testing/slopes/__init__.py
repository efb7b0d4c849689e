"""Measures control-plane cost per block, site, peer, message and change."""
