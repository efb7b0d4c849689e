#!/bin/bash
# Compiles the stand-ins of the scripts; they need Python's standard library
# only. The gateways are built by the deploy file.
set -euo pipefail
cd "$(dirname "$0")/.."
python3 -m py_compile review/standin_*.py review/*/case.py
