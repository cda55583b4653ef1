"""The trainers' HTTP interface."""
