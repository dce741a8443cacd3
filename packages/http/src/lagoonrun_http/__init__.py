"""HTTP/1.1 edges towards callers and upstreams."""
