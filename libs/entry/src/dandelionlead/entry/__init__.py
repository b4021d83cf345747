"""The dandelion-entry program."""
