"""What a node holds for its callers, and whose connection goes first when room is short."""
