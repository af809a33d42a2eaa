"""Stand-ins for clients, workers and the change log, and the start of routers, for the cases 6 to 10."""
