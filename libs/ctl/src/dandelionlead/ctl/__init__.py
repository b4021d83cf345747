"""Commands of dandelionctl, and what they show."""
