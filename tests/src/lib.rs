//! Process tests, which start the real binaries through the launcher. See `tests/all`.
