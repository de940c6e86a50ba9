"""Stand in for the platform and the upstreams in tests."""
