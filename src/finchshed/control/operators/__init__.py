"""Services of a control node for operators."""
