"""Cells: parts of the fleet and of each director's capacity, to which tenants are confined.

Tenants can migrate between cells without an interruption of service.

Modules without I/O, which take the time as an argument; lowest layer first:

- `model`, `validation`, `parser` and `formatter`: the assignment file and its content.
- `hashing` and `tenant_resolution`: the home cell of a tenant, and the tenant of a request.
- `token_bucket`, `retry_budget`, `concurrency_limit` and `fair_share`: kinds of limits.
- `tenant_state`, `cell_state` and `cell_quotas`: the use of these limits by tenants and cells.
- `migrations`, `sticky_routing`, `failover` and `rollouts`: changes over time.
- `placement` and `admission_controller`: the decision about one request.
- `edits`: changes that operators make.
- `status`, `explanations` and `presentation`: output for operators.

Modules that use files, clocks or threads: `store`, `config`, `service` and `commands`.
"""
