"""All delivery decisions: the policy, its call surface and its records; no I/O, clock or protocol."""
