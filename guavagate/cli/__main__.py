"""Runs the tool as ``python -m guavagate.cli``."""

from guavagate.cli import main

if __name__ == '__main__':
    main()
