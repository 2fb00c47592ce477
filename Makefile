# Build, test, lint and run; .ci/run calls lint and test.
PYTHON = .venv/bin/python

.PHONY: build tools lint test processes soak run lab

# The sender, the command line and the laboratory; `.venv/bin/cedarwick` is there afterwards.
build: .venv/bin/cedarwick

.venv/bin/cedarwick: requirements.txt requirements-lab.txt requirements-fleet.txt pyproject.toml
	test -d .venv || python3 -m venv .venv
	.venv/bin/pip -q install -r requirements.txt -r requirements-lab.txt -r requirements-fleet.txt
	.venv/bin/pip -q install --no-deps -e .
	touch $@

tools: build
	.venv/bin/pip -q install -r requirements-dev.txt

lint: tools
	.venv/bin/ruff format --check cedarwick tests
	.venv/bin/ruff check cedarwick tests
	.venv/bin/mypy cedarwick tests

test: tools
	$(PYTHON) -m unittest discover -s tests -t .

# Several real processes with faults between them, on any seeds.
SEEDS = 1
processes: tools
	CEDARWICK_SEEDS="$(SEEDS)" $(PYTHON) -m unittest discover -v -s tests/processes -t .

# Restarts of real senders and drawn lease histories; SEEDS="1 2 3" or SEEDS=1-50.
soak: tools
	$(PYTHON) -m tests.soak $(SEEDS)

# Needs RELAY_CONFIG and RELAY_STATE; see README.md.
run: build
	exec $(PYTHON) -m cedarwick
