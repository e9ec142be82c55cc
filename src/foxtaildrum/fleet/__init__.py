"""Fleet membership, the replicated upstream list, and the node that combines all parts."""
