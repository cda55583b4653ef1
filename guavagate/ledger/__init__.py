"""The ledger of non-idempotent requests."""
