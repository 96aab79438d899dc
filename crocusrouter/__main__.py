"""Runs the command line: python -m crocusrouter."""

from crocusrouter.cli.main import main

if __name__ == "__main__":
    main()
