"""The dandelion-steward program."""
