"""Events of envelopes and senders, the filter language, its index, subscriptions and cursors."""
