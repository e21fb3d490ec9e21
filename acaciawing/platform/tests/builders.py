"""Wire data of the platform that several tests decode."""

# A worker's entry in the platform's list.
WORKER_ENTRY: dict[str, object] = {
    "Service": "s",
    "Address": "192.0.2.1:80",
    "Zone": "a",
    "State": "ready",
    "Capacity": {"Cpu": 1},
    "Labels": ["a", "r1-1"],
    "born": 5,
}
