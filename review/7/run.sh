#!/usr/bin/env bash
# Clients send requests within max_header_bytes, but with many short header lines or query
# parameters. Exits with 1 if over three of them ran and their connections were closed without an
# answer (LOST). TROUBLE=0: as many bytes in 16 header lines, or in one parameter.
cd "$(dirname "$0")" && PYTHONDONTWRITEBYTECODE=1 exec python3 case.py
