"""The proxy: the request pipeline, from admission to response."""
