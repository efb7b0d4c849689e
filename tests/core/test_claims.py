"""Rows of claims that another writer left."""

import pytest
from sardinewheel_core import claims

NESTED = "[" * 100_000


@pytest.mark.parametrize("text", [NESTED, "", "{", "[]", "null", "9" * 5000])
def test_a_row_that_can_not_be_read_claims_nothing(text):
    assert claims.decode_row(text) is None
