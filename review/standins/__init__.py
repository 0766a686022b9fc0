"""Stand-ins of clients, storage servers and discovery for the cases of the review, and what starts `run`.

They follow the users' protocol page and use the standard library only. Nothing here imports the project.
"""
