//! Whole-process tests: they start the real binaries through the launcher. See `tests/all`.
