"""Messages between processes: thrift code, authenticated server and client."""
