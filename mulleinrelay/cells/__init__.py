"""Cells: tenants are confined to parts of the fleet and of the director, and migrate in service.

Pure modules, from the bottom: `model` (an assignment file as data), `validation`, `parser` and
`formatter` (text in and out), `hashing` and `tenant_resolution` (which cell, whose request),
`token_bucket`, `retry_budget`, `concurrency_limit` and `fair_share` (what a tenant may take),
`migrations`, `sticky_routing`, `failover` and `rollouts` (how this changes over time), `placement`
and `admission_controller` (all of it for one request), `edits` (what operators change).

With files, clocks or threads: `store`, `config`, `service` and `commands`.
"""
