"""Events of messages and senders, the filter language, its index, subscriptions and cursors."""
