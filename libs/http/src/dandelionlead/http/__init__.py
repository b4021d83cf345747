"""HTTP/1.1 client connections, HTTP/1.1 server and event stream parser."""
