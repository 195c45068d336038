PYTHON ?= python3.11
VENV := .venv
BIN := $(VENV)/bin

.PHONY: setup demo test lint format clean

setup: $(VENV)/.installed

$(VENV)/.installed: pyproject.toml constraints.txt
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/pip install --quiet --constraint constraints.txt --editable ".[test]"
	touch $@

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .

test: lint
	$(BIN)/python -m tools.verdict

demo: setup
	sh examples/demo.sh

clean:
	rm -rf .test-run .demo
