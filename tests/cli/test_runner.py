"""Tests of running commands: what is reported for those that fail."""

from sardinewheel_cli.runner import run_command
from sardinewheel_cli.session import Session

from tests.cli.test_parser import parse


def test_a_syntax_error_suggests_a_name_that_the_session_knows(capsys):
    session = Session(None, author="test")
    session.known_names = ("quito-bodega",)
    options = parse("show regions").options
    run_command(session, "drain quito-bodga", options)
    assert "did you mean 'quito-bodega'?" in capsys.readouterr().err
