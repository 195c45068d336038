"""Other entry hosts: who they are, streams to them, what they tell."""
