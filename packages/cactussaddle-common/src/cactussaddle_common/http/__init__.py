"""HTTP/1.1 over non-blocking sockets, parsed by httptools, with one reading task per connection."""

from __future__ import annotations
