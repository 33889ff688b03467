"""A model checker for the consensus: explores the product's own state machines in every order of their steps."""
