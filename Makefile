# Every target sets up the virtual environment it needs.
VENV := .venv
PYTHON := $(VENV)/bin/python
DEPLOYMENT ?= carrick
SEED ?= 1

.PHONY: demo test check format measure capacity clean

$(VENV)/installed: requirements.txt requirements-dev.txt
	python3 -m venv $(VENV)
	$(VENV)/bin/pip install --quiet --disable-pip-version-check -r requirements-dev.txt
	touch $@

test: $(VENV)/installed
	$(PYTHON) -m test.runner

demo: $(VENV)/installed
	$(PYTHON) -W ignore -m bench.platform_demo --deployment $(DEPLOYMENT) --seed $(SEED)
	$(PYTHON) -m bench.demo --deployment $(DEPLOYMENT) --seed $(SEED)

measure: $(VENV)/installed
	$(PYTHON) -m bench.measure --deployment $(DEPLOYMENT) --seed $(SEED)

capacity: $(VENV)/installed
	$(PYTHON) -m bench.capacity --seed $(SEED)

check: $(VENV)/installed
	$(VENV)/bin/black --check --quiet .
	$(VENV)/bin/ruff check --quiet .

format: $(VENV)/installed
	$(VENV)/bin/black --quiet .
	$(VENV)/bin/ruff check --quiet --fix .

clean:
	rm -rf $(VENV)
