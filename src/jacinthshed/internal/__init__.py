"""Implementation of jacinthshed; nothing in here is public."""
