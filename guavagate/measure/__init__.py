"""The tool that measures the decisions under virtual time."""
