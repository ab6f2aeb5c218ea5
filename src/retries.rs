//! Retry budgets and strikes against requests that kill upstreams.
