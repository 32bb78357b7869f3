"""HTTP conventions for requests and answers of callers and backend servers."""
