"""Puts the adapter's folder on the path, as its program does."""

import sys
from pathlib import Path

ADAPTER = Path(__file__).resolve().parents[2] / "platform"
if str(ADAPTER) not in sys.path:
    sys.path.append(str(ADAPTER))
