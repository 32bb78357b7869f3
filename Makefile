PYTHON ?= python3
VENV ?= .venv
BIN = $(VENV)/bin

.PHONY: setup demo test slow lint format

setup: $(VENV)/installed

$(VENV)/installed: pyproject.toml
	test -x $(BIN)/python || $(PYTHON) -m venv $(VENV)
	$(BIN)/python -m pip install --quiet --disable-pip-version-check -e '.[dev]'
	touch $@

demo: setup
	$(BIN)/jacinthshed demo

test: setup
	$(BIN)/python -m pytest tests/cover

slow: setup
	$(BIN)/python -m pytest tests/nocover

lint: setup
	$(BIN)/ruff format --check .
	$(BIN)/ruff check .
	$(BIN)/mypy

format: setup
	$(BIN)/ruff format .
	$(BIN)/ruff check --fix .
