"""Memory-based admission, endpoint limits, ownership, grants and fairness."""
