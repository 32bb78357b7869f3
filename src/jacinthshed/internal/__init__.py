"""Implementation of jacinthshed; nothing in this package is public API."""
