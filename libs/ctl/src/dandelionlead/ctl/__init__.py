"""The dandelionctl command line."""
