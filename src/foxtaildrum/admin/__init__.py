"""Admin HTTP interface and its client, metrics, service-level reports and status."""
