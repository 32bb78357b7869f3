"""How requests and answers are spelled on the way to callers and backend servers."""
