"""Many senders as one fleet; nothing of it is imported without a `[fleet]` table in the operator file."""
