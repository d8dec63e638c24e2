"""`python -m ledgehitch`: the command line."""

from ledgehitch.cli.main import main

main()
