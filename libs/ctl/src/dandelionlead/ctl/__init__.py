"""What the dandelionctl command line shows."""
