"""Publishes events of messages and senders: event kinds, the filter language and index, subscriptions and delivery."""
