"""The ``jacinthshed`` command line."""
