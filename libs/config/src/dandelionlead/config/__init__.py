"""Settings and configuration files: parsing, checking, model and parts."""
