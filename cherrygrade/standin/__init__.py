"""Stand-ins for what a dispatcher meets: storage nodes and the register. They hold bytes and no rules."""
