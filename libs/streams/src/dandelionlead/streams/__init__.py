"""Resume tokens and the relay of token streams."""
