"""Choice of endpoint, retry budgets and crash suspects."""
