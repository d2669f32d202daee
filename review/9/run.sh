#!/usr/bin/env bash
# The operator raises max_header_bytes, and clients send more headers than before. Exits with 1 if
# more of these requests than DENIED allows are ended with a 4xx. TROUBLE=0: the limit and the
# headers stay as they were.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
