"""The laboratory: all parties that a sender meets, on loopback; load, audit and reports."""
