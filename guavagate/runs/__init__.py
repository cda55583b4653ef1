"""Training runs: steps, samples, delivery and weights."""
