"""Version evidence, sequential judgement, share schedule and leases."""
