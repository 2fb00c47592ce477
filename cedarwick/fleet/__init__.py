"""Several senders that act as one fleet; imported only where the operator file has a `[fleet]` table."""
