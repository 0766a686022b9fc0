"""Models of the product's own decisions, and every state that they come to."""
