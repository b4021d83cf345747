"""Members, freshness of rules and spread of the configuration."""
