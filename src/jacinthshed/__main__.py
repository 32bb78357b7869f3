"""Entry point of the ``jacinthshed`` command."""

import sys


def main() -> None:
    """Run the command line and exit with its code."""
    from .internal.cli.app import run

    sys.exit(run(sys.argv[1:]))


if __name__ == "__main__":
    main()
