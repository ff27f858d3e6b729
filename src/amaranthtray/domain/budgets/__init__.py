"""The availability budget ledger of a pool."""
