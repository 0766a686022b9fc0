"""Stand-ins of the services around dispatchers: storage nodes, register, discovery, lease receiver, network.

They store bytes, answer and show faults on command; they contain none of the gateway's rules.
"""
