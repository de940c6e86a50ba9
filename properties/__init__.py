"""Check hard bounds with generated inputs."""
