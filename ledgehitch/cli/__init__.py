"""The command line: arguments, output and exit codes, one file a group of commands.

It decides nothing and holds no logic of the program. Start reading at `main.py`.
"""
