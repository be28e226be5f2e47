"""Client accounts: keys, how long they are honoured, and quotas."""
