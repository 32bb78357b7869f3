"""The account of the memory that bodies and answers occupy."""
