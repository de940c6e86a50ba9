VENV ?= .venv
PYTHON = PYTHONPATH=. $(VENV)/bin/python
SOURCES = berylhinge properties benchmarks

# The deployments of the regression runs; BENCH is the users' bench and DEPLOYMENTS the
# folder of their site files.
REGRESSION_SITES = further/vaunutunniste-pooli further-grown/vaunutunniste-pooli-grown \
	sites/kattevakt-pool sites/arns-hinge grown/arns-hinge-grown \
	grown/kattevakt-pool-grown shifted/kattevakt-pool-now-grown \
	demands/dfu-tipflow-grown demands/lcb-ortung-grown

.PHONY: demo test check format fuzz bench measures slopes regression

$(VENV)/.installed: requirements-dev.txt constraints.txt pyproject.toml
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install -q -r requirements-dev.txt -c constraints.txt
	$(VENV)/bin/pip install -q --no-deps -e .
	touch $@

demo: $(VENV)/.installed
	$(PYTHON) -m berylhinge.cli.dev

test: $(VENV)/.installed
	$(PYTHON) -m pytest

check: $(VENV)/.installed
	$(VENV)/bin/ruff format --check $(SOURCES)
	$(VENV)/bin/ruff check $(SOURCES)
	$(PYTHON) -m mypy

format: $(VENV)/.installed
	$(VENV)/bin/ruff format $(SOURCES)
	$(VENV)/bin/ruff check --fix $(SOURCES)

fuzz: $(VENV)/.installed
	$(PYTHON) -m properties.fuzz_group

bench: $(VENV)/.installed
	$(PYTHON) -m benchmarks.run

measures: $(VENV)/.installed
	$(PYTHON) -m benchmarks.measures

slopes: $(VENV)/.installed
	$(PYTHON) -m benchmarks.slopes

regression: $(VENV)/.installed
	$(PYTHON) -m benchmarks.regression $(BENCH) $(QUICK) \
		$(REGRESSION_SITES:%=$(DEPLOYMENTS)/%.toml)
