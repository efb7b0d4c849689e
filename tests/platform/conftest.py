"""Adds the adapter's directory to ``sys.path``, as its program does."""

import sys
from pathlib import Path

ADAPTER_DIR = Path(__file__).resolve().parents[2] / "platform"
if str(ADAPTER_DIR) not in sys.path:
    sys.path.append(str(ADAPTER_DIR))
