"""HTTP server and client connections over h11."""
