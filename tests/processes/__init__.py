"""Several real processes of the program with faults between them.

`make test` plays a short form; `make processes SEEDS="1 2 3"` plays the drawn days of any seeds.
"""
