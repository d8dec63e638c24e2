"""`python -m ledgehitch`: runs the command line."""

from ledgehitch.cli.main import main

main()
