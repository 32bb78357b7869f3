"""Bundle: the signed policy document, its checks, order and spread."""
