"""Turn sockets into events and effects into bytes."""
