"""cedarwick: a delivery service for outbound messages to other firms' systems."""
