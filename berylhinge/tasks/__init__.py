"""Connect the state machines of core to sockets, timers and greenlets."""
