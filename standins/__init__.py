"""Small stand-ins for the platform and for endpoints.

The product never imports this package.
"""
