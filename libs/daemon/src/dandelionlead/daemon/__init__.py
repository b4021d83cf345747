"""Parts of every daemon: settings, rules in force, gossip, peer calls."""
