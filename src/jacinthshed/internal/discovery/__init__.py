"""The targets of a deployment, as a directory outside the nodes lists them."""
