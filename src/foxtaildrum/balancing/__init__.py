"""Choice of an upstream for each attempt, and the load data and budgets behind it."""
