"""Stand-ins that the cases of the review share: workers, clients, the endpoint log, and a launcher."""
