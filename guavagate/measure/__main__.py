"""Command line of ``script/measure``: a command per pattern or measurement.

To add a measurement, add one line to `_COMMANDS`. Its module is imported only
when the command runs.
"""

import importlib
from typing import Final

import click

from guavagate.measure._patterns import PATTERNS

_COMMANDS: Final = {
    'list': 'guavagate.measure._commands:list_patterns',
    'decisions': 'guavagate.measure._commands:decisions',
    'cost': 'guavagate.measure._cost:cost',
    'outcomes': 'guavagate.measure.outcomes._command:outcomes',
    'cost-per-request': 'standins.cost:main',
    'capacity': 'standins.capacity:main',
    'lost-instance': 'standins.capacity:measure_loss',
    'replacement': 'standins.replacement:main',
    'slopes': 'guavagate.measure.slopes:main',
    'settings': 'guavagate.measure._settings:settings',
    'settings-real': 'standins.settings_propagation:main',
}


class LazyGroup(click.Group):
    """Group that imports the module of a command when the command runs."""

    def list_commands(self, ctx: click.Context) -> list[str]:
        """Return the names of all commands."""
        return [*_COMMANDS, *PATTERNS]

    def get_command(
        self, ctx: click.Context, cmd_name: str
    ) -> click.Command | None:
        """Return the command of this name, or None if it doesn't exist."""
        target = _COMMANDS.get(cmd_name)
        if target is not None:
            module, _, name = target.partition(':')
            return getattr(importlib.import_module(module), name)
        if cmd_name in PATTERNS:
            from guavagate.measure._commands import (
                make_command,
            )

            return make_command(cmd_name)
        return None


@click.command(cls=LazyGroup)
def main() -> None:
    """Measure guavagate's decisions; the same seed gives the same figures."""


if __name__ == '__main__':
    main()
