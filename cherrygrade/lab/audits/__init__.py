"""What passed, judged from outside; breakages that an audit has to find."""
