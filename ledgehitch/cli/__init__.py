"""The command line: arguments, output and exit codes, with one module per group of commands.

It holds no program logic. Start reading at `main.py`.
"""
