"""Stand-ins and process control shared by the cases 6 to 10."""
