"""HTTP client for backend servers."""
