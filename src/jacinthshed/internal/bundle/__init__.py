"""Bundle: the signed policy document, with its validation, order and distribution."""
