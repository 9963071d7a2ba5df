"""Cells: tenants are confined to parts of the fleet and of the director, and move between them in
service.

Pure: charter (what a file says), reading (INI to charter and back), naming, assignment, limits,
moves, idempotency keys, reserve, releases, governor (all of these together). With I/O: store,
warden, commands.
"""
