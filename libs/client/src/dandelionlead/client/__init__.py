"""Callers' library: address list, stream resume and safe retries."""
