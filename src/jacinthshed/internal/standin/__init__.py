"""Stand-ins for the systems around the product."""
