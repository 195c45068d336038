"""Write-ahead journals of generated tokens, kept on peers."""
