"""Stand-ins of the parties around a gateway, for the cases of this review."""
