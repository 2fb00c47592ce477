"""Events of messages and senders: kinds, filter language and index, subscriptions and their delivery."""
