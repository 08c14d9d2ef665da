//! Decisions on memory: the ledger, the floor, demand replicas, weight store shares.
