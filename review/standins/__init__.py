"""Stand-ins of the platform's store, workers, clients and operator.

They speak what the users' pages say, use the standard library only, and run in
the process of the script that uses them. The gateways run as processes of their
own.
"""
