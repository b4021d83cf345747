"""Commands of dandelionctl, and the formatting of their output."""
