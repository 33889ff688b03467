"""A model checker for the agreement: the product's own state machines, explored in every order."""
