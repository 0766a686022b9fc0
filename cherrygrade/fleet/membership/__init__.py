"""What a member of the fleet decides: who lives, who is told what, how much is taken up. Free of I/O."""
