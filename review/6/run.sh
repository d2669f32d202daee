#!/usr/bin/env bash
# All backends of a service crash and start again under their ids. Exits with 1 if a cold backend
# got more requests in a second than FAILBACK allows. TROUBLE=0: no backend crashes.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
