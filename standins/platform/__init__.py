"""Stand-ins for the users' platform and the soak test that uses them."""
