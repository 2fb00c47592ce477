"""Files that an operator writes: their types, checks, and the texts made from them."""
