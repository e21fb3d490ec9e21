"""Division of a fleet's machines between its pools."""

from acaciawing.allocation.division import PoolDemand, divide_machines

__all__ = ["PoolDemand", "divide_machines"]
