//! Which configuration is in force, which backend servers are live, which stops are under way.
