"""Write-ahead journals of generated tokens, kept on peers.

The driver is the host that runs a generation for its callers. Before it releases
tokens, it appends them to a journal on another host, the holder. If the driver fails,
another one goes on from the journal. Each driver of a generation has its own branch.
"""
